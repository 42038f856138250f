#include "CrashingServer.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using namespace tamarackcove;
using namespace tamarackcove::test;

/// The deadly request crashes three servers before it is known, and each attempt reaches two servers at most.
static constexpr int MaxCrashes = 6;

// Guards against a deadly request of which the entry keeps no evidence, because its callers leave the silent server
// before the entry gives it up.
TEST_CASE("a request under which servers fall silent is refused although its callers leave early")
{
    CrashingDeployment crashing(End::FallsSilent);
    crashing.deployment.run([&]() -> asio::awaitable<void> {
        const auto makeRequest = [](int number) {
            return CrashingDeployment::deadlyRequest(number, milliseconds(3000));
        };
        CHECK(co_await crashing.sendUntilRefused(makeRequest, milliseconds(150), true) <= MaxCrashes);
        const auto last = co_await crashing.send(makeRequest(++crashing.attempts));
        CHECK(CrashingDeployment::isQuarantined(last));
        crashing.close();
    });
}

// Guards against a deadly request that goes on crashing the servers that come back, silently, at their old addresses.
TEST_CASE("a request under which servers fall silent is refused when they are back at their addresses")
{
    constexpr milliseconds DownTime{1500};
    constexpr seconds ContactTime{3};
    constexpr int MaxLateCrashes = 3;
    CrashingDeployment crashing(End::FallsSilent, DownTime);
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto endTime = Clock::now() + seconds(9);
        while (Clock::now() < endTime) {
            co_await crashing.announceServers();
            (void)co_await crashing.send(CrashingDeployment::deadlyRequest(++crashing.attempts));
            co_await deployment.sleepFor(milliseconds(100));
        }
        const auto crashes = crashing.crashTimes();
        REQUIRE(crashes.size() >= 3);
        const auto lateCrashes
            = std::count_if(crashes.begin(), crashes.end(), [&](auto at) { return at > crashes[2] + ContactTime; });
        CHECK(lateCrashes <= MaxLateCrashes);
        const auto last = co_await crashing.send(CrashingDeployment::deadlyRequest(++crashing.attempts));
        CHECK(CrashingDeployment::isQuarantined(last));
        const auto sound = co_await deployment.call("GET", "/again/deadlx", "sound");
        CHECK(sound.status == 200);
        crashing.close();
    });
}

// Guards against an entry that sends a deadly request on for as long as no control host leads.
TEST_CASE("an entry without a leader refuses a request that crashes servers")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.stopControl();
        const auto makeRequest = [](int number) {
            return CrashingDeployment::deadlyRequest(number);
        };
        CHECK(co_await crashing.sendUntilRefused(makeRequest, CallTimeout, false) <= MaxCrashes);
        const auto sound = co_await deployment.call("GET", "/again/deadlx", "sound");
        CHECK(sound.status == 200);
        crashing.close();
    });
}

// Guards against a verdict that an entry forgets when it loses the leader.
TEST_CASE("an entry goes on refusing a request that crashes servers after it has lost the leader")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        (void)co_await crashing.sendUntilRefused();
        co_await deployment.stopControl();
        co_await deployment.sleepFor(milliseconds(1500));
        const auto crashes = crashing.crashes();
        const auto answer = co_await crashing.send(CrashingDeployment::deadlyRequest(++crashing.attempts));
        CHECK(CrashingDeployment::isQuarantined(answer));
        CHECK(crashing.crashes() == crashes);
        crashing.close();
    });
}

// Guards against a verdict that an entry lacks after its start.
TEST_CASE("an entry that has just started refuses a request that was found to crash servers")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.gracePeriod = milliseconds(500);
    deployment.run([&]() -> asio::awaitable<void> {
        (void)co_await crashing.sendUntilRefused();
        const auto crashes = crashing.crashes();
        co_await deployment.restartEntry();
        for (int i = 0; i < 20; ++i) {
            (void)co_await crashing.send(CrashingDeployment::deadlyRequest(++crashing.attempts));
            co_await deployment.sleepFor(milliseconds(50));
        }
        CHECK(crashing.crashes() == crashes);
        const auto sound = co_await deployment.call("GET", "/again/deadlx", "sound");
        CHECK(sound.status == 200);
        crashing.close();
    });
}

// Guards against a deadly request that is not recognised because its repeats have other headers and hints.
TEST_CASE("a request that crashes servers is refused although its repeats differ in headers")
{
    CrashingDeployment crashing;
    crashing.deployment.run([&]() -> asio::awaitable<void> {
        const auto makeRequest = [](int number) {
            auto request = CrashingDeployment::deadlyRequest(number, milliseconds(400 + number));
            request.headers.set("Tamarackcove-Length-Hint", std::to_string(number));
            request.headers.set("Tamarackcove-Token-Usage", std::to_string(number) + ",9");
            request.headers.set("X-Trace", std::to_string(number));
            return request;
        };
        CHECK(co_await crashing.sendUntilRefused(makeRequest, CallTimeout, true) <= MaxCrashes);
        crashing.close();
    });
}

// Guards against a deadly request that is not recognised because its repeats have other bodies.
TEST_CASE("a request that crashes servers is refused although its repeats differ in the body")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto makeRequest = [](int number) {
            auto request = CrashingDeployment::deadlyRequest(number);
            request.method = "POST";
            request.body = "number=" + std::to_string(number);
            return request;
        };
        CHECK(co_await crashing.sendUntilRefused(makeRequest, CallTimeout, true) <= MaxCrashes);
        const auto sound = co_await deployment.call("POST", "/again/deadlx", "sound");
        CHECK(sound.status == 200);
        crashing.close();
    });
}

// Guards against a deadly request that is not recognised because its repeats state other prompts.
TEST_CASE("a request that crashes servers is refused although its repeats differ in the parts of the prompt")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto makeRequest = [](int number) {
            auto request = CrashingDeployment::deadlyRequest(number);
            request.headers.set("Tamarackcove-Prompt-Prefix", "part" + std::to_string(number) + ":9");
            return request;
        };
        CHECK(co_await crashing.sendUntilRefused(makeRequest, CallTimeout, true) <= MaxCrashes);
        const auto sound = co_await deployment.call("GET", "/again/deadlx", "sound");
        CHECK(sound.status == 200);
        crashing.close();
    });
}

// Guards against two deadly requests that hide each other, as each crash has both.
TEST_CASE("two requests that crash servers at the same time are both refused")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto sendTo = [&](const char *path) -> asio::awaitable<bool> {
            auto request = Deployment::callerRequest("GET", path, "deadly" + std::to_string(++crashing.attempts), {},
                                                     milliseconds(500));
            const auto answer = co_await crashing.send(std::move(request));
            co_return CrashingDeployment::isQuarantined(answer);
        };
        bool bothRefused = false;
        for (int i = 0; i < 12 && !bothRefused; ++i) {
            const auto [first, second] = co_await (sendTo("/again/deadly/1") && sendTo("/again/deadly/2"));
            bothRefused = first && second;
            co_await crashing.announceServers();
            co_await deployment.sleepFor(milliseconds(150));
        }
        CHECK(bothRefused);
        CHECK(crashing.crashes() <= 2 * MaxCrashes);
        const auto sound = co_await deployment.call("GET", "/again/deadlx", "sound");
        CHECK(sound.status == 200);
        crashing.close();
    });
}

// Guards against a deadly call that is not recognised because the runs of other requests make it.
TEST_CASE("a call that runs make and that crashes servers is refused, and the runs are answered")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    int refusedCalls = 0;
    for (const auto &server : crashing.servers) {
        server->onRun = [&](std::string head) -> asio::awaitable<void> {
            if (head.find("/once/calls") != std::string::npos) {
                const auto answer = co_await crashing.send(CrashingDeployment::deadlyRequest(++crashing.attempts));
                refusedCalls += CrashingDeployment::isQuarantined(answer) ? 1 : 0;
            }
        };
    }
    deployment.run([&]() -> asio::awaitable<void> {
        int answered = 0;
        for (int i = 0; i < 12; ++i) {
            const auto run = co_await deployment.call("POST", "/once/calls", "run" + std::to_string(i));
            answered += run.status == 200 ? 1 : 0;
            co_await crashing.announceServers();
            co_await deployment.sleepFor(milliseconds(150));
        }
        CHECK(refusedCalls >= 6);
        CHECK(answered >= 6);
        CHECK(crashing.crashes() <= MaxCrashes);
        crashing.close();
    });
}

// Guards against a deadly request that is taken as sound because servers crash only after they have begun to answer it.
TEST_CASE("a request under which servers crash in the middle of their answer is refused")
{
    CrashingDeployment crashing(End::ClosesInAnswer);
    crashing.deployment.run([&]() -> asio::awaitable<void> {
        CHECK(co_await crashing.sendUntilRefused() <= MaxCrashes);
        crashing.close();
    });
}

// Guards against a deadly request whose crashes are disproved by heartbeats that the servers sent before they crashed.
TEST_CASE("a request that crashes servers is refused although their last heartbeats arrive late")
{
    constexpr milliseconds DownTime{1500};
    constexpr milliseconds HeartbeatDelay{1200};
    constexpr int Attempts = 8;
    CrashingDeployment crashing(End::ClosesConnections, DownTime);
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        for (int i = 0; i < Attempts; ++i) {
            (void)co_await crashing.send(CrashingDeployment::deadlyRequest(++crashing.attempts));
            co_await deployment.sleepFor(HeartbeatDelay);
            for (const auto &server : crashing.servers) {
                if (!server->isUp()) {
                    (void)co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/" + server->formerId(),
                                                          server->lastHeartbeatOfFormer().dump());
                }
            }
            co_await deployment.sleepFor(DownTime - HeartbeatDelay + milliseconds(100));
            co_await crashing.announceServers();
        }
        CHECK(crashing.crashes() <= MaxCrashes);
        crashing.close();
    });
}
