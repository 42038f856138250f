#include "Deployment.h"

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

static constexpr milliseconds RequestInterval{20};

namespace {

/// A deployment with the servers p1, which leaves, and p2, which stays and sends heartbeats.
class LeavingServer
{
public:
    LeavingServer()
        : leaving(deployment.addServer("p1", "plain", answerInFull))
        , staying(deployment.addServer("p2", "plain", answerInFull))
    {
    }

    asio::awaitable<void> deregister()
    {
        CHECK(co_await deployment.callControl("POST", "/v1/Instances.Deregister/p1", "") == 200);
    }

    /// Sends the next heartbeat of p1, or the first one of its second start.
    asio::awaitable<void> sendHeartbeat(bool ofSecondStart = false)
    {
        auto heartbeat = leaving.heartbeat("plain");
        if (ofSecondStart) {
            heartbeat["born"] = 2;
            heartbeat["seq"] = 1;
        }
        const auto body = heartbeat.dump();
        CHECK(co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/p1", body) == 200);
    }

    /// Replaces the control host by one that has its log, and waits until that leads.
    asio::awaitable<void> replaceLeader()
    {
        co_await deployment.restartControl();
        const auto heartbeat = staying.heartbeat("plain").dump();
        while (co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/p2", heartbeat) != 200) {
            co_await deployment.sleepFor(RequestInterval);
        }
    }

    /// Sends requests for this time, and a heartbeat of p2 now and then. Returns how many of them reached p1.
    asio::awaitable<std::size_t> sendRequests(milliseconds time)
    {
        const auto before = leaving.requests.size();
        const auto endTime = Clock::now() + time;
        auto nextHeartbeat = Clock::now();
        while (Clock::now() < endTime) {
            if (Clock::now() >= nextHeartbeat) {
                nextHeartbeat += deployment.heartbeatInterval;
                co_await deployment.sendHeartbeat(staying);
            }
            (void)co_await deployment.call("GET", "/again/x", "request" + std::to_string(++m_requests));
            co_await deployment.sleepFor(RequestInterval);
        }
        co_return leaving.requests.size() - before;
    }

    Deployment deployment;
    StandInServer &leaving;
    StandInServer &staying;

private:
    int m_requests = 0;
};

} // namespace

// Guards against a departure that is lost because the heartbeats of the server had stopped before: a late heartbeat
// then makes it a new server.
TEST_CASE("a server that leaves after its heartbeats have stopped gets no requests when one of them arrives late")
{
    LeavingServer test;
    auto &deployment = test.deployment;
    deployment.heartbeatInterval = milliseconds(200);
    const auto expiryTime = deployment.heartbeatInterval * 5 + milliseconds(600);
    deployment.run([&]() -> asio::awaitable<void> {
        co_await test.sendHeartbeat();
        (void)co_await test.sendRequests(expiryTime);
        co_await test.deregister();
        SUBCASE("at the leader that has acknowledged the departure")
        {
        }
        SUBCASE("at the next leader")
        {
            co_await test.replaceLeader();
            (void)co_await test.sendRequests(milliseconds(500));
        }
        SUBCASE("after a restart of all")
        {
            co_await test.replaceLeader();
            co_await deployment.restartEntry();
            (void)co_await test.sendRequests(milliseconds(500));
        }
        co_await test.sendHeartbeat();
        CHECK(co_await test.sendRequests(milliseconds(800)) == 0);
        co_await test.sendHeartbeat(true);
        CHECK(co_await test.sendRequests(milliseconds(500)) > 0);
    });
}
