#include "CrashingServer.h"

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

// Guards against a plain request that is sent again and again and crashes each server that begins to run it.
TEST_CASE("a request without a prompt that crashes servers is refused, and sound ones on its path are served")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto crashes = co_await crashing.sendUntilRefused();
        // Each attempt reaches two servers at most, and the one in which the third crashes is the last.
        CHECK(crashes >= 3);
        CHECK(crashes <= 6);
        const auto sound = co_await deployment.call("GET", "/again/deadlx", "sound");
        CHECK(sound.status == 200);
        const auto otherMethod = co_await deployment.call("POST", "/once/x", "other");
        CHECK(otherMethod.status == 200);
        const auto again = co_await deployment.call("GET", "/again/deadly", "again");
        CHECK(again.status == 503);
        const auto [entryMetrics, controlMetrics] = co_await deployment.metrics();
        checkContains(entryMetrics, "requests_quarantined_total");
        checkContains(controlMetrics, "crashing_requests_quarantined 1");
        checkContains(controlMetrics, "prompt_parts_quarantined 0");
        crashing.close();
    });
}

// Guards against three more crashes after each change of leader.
TEST_CASE("a leader that has just started knows of the crashes of a request before it")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        (void)co_await deployment.call("GET", "/again/deadly", "first");
        CHECK(crashing.crashes() == 2);
        co_await deployment.sleepFor(milliseconds(300));
        co_await deployment.restartControl();
        co_await deployment.sleepFor(milliseconds(1500));
        co_await crashing.announceServers();
        co_await deployment.sleepFor(milliseconds(100));
        const auto more = co_await crashing.sendUntilRefused();
        CHECK(more <= 2);
        crashing.close();
    });
}

// Guards against a verdict that never ends, and against one that costs as many servers again when it has ended.
TEST_CASE("a quarantine ends, and one more crash of the request begins the next one")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.quarantineTime = milliseconds(800);
    deployment.run([&]() -> asio::awaitable<void> {
        (void)co_await crashing.sendUntilRefused();
        co_await deployment.sleepFor(milliseconds(2500));
        const auto [entryMetrics, controlMetrics] = co_await deployment.metrics();
        checkContains(controlMetrics, "crashing_requests_quarantined 0");
        checkContains(controlMetrics, "crash_suspects_on_probation 1");
        co_await crashing.announceServers();
        const auto more = co_await crashing.sendUntilRefused();
        CHECK(more >= 1);
        CHECK(more <= 2);
        crashing.close();
    });
}

// Guards against a sound request that is refused for long because live servers have reset its connections.
TEST_CASE("a verdict is withdrawn once the servers that seemed to have crashed send heartbeats")
{
    CrashingDeployment crashing(End::ResetsConnection);
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        (void)co_await crashing.sendUntilRefused();
        const auto before = co_await deployment.metrics();
        checkContains(before.second, "crashing_requests_quarantined 1");
        co_await deployment.sleepFor(milliseconds(1200));
        co_await crashing.announceServers();
        co_await deployment.sleepFor(milliseconds(1200));
        const auto after = co_await deployment.metrics();
        checkContains(after.second, "crashing_requests_quarantined 0");
        checkContains(after.second, "crash_suspects_on_probation 0");
        crashing.close();
    });
}

// Guards against a request under which servers lose power one after the other, so that their connections just fall
// silent.
TEST_CASE("a request under which servers fall silent is refused")
{
    CrashingDeployment crashing(End::FallsSilent);
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto crashes = co_await crashing.sendUntilRefused();
        CHECK(crashes <= 6);
        crashing.close();
    });
}
