#include "tamarackcove/Control/Fleet/FleetControl.h"

#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <utility>

namespace asio = boost::asio;
using namespace tamarackcove;

/// Fixture: the calls of servers at a host that has the role of the leader, with a stand-in for the log.
class FleetControlFixture
{
public:
    FleetControlFixture()
    {
        static const bool LogsSetUp = [] {
            initLogging("fleet-control", LogLevel::Error);
            return true;
        }();
        REQUIRE(LogsSetUp);
    }

    Result<void, FleetControl::Refusal> deregister(const std::string &id)
    {
        std::optional<Result<void, FleetControl::Refusal>> result;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                TargetId target(id);
                result = co_await control.deregister(std::move(target));
            },
            [](const std::exception_ptr &error) { REQUIRE_FALSE(error); });
        io.restart();
        io.run();
        REQUIRE(result.has_value());
        return *result;
    }

    LogClient client()
    {
        LogClient log;
        log.propose = [this](std::string bytes) -> asio::awaitable<Result<std::string, LogError>> {
            ++proposals;
            const auto command = decodeFleetCommand(bytes);
            REQUIRE(command.has_value());
            state.apply(static_cast<std::uint64_t>(proposals), std::chrono::system_clock::now(), command.value());
            if (onRecorded) {
                std::exchange(onRecorded, {})();
            }
            co_return std::string();
        };
        log.readBarrier = [this]() -> asio::awaitable<Result<void, LogError>> {
            if (!confirmed) {
                co_return LogError{.code = LogErrorCode::Unavailable, .detail = "no majority", .leader = std::nullopt};
            }
            if (onConfirmed) {
                onConfirmed();
            }
            co_return ok();
        };
        log.status = [] {
            LogStatus status;
            status.role = "leader";
            return status;
        };
        return log;
    }

    asio::io_context io{1};
    /// Whether a majority confirms that this host is the leader.
    bool confirmed = true;
    std::function<void()> onConfirmed;
    /// Called once, when the first command is in the log and its caller does not know yet.
    std::function<void()> onRecorded;
    int proposals = 0;
    FleetState state;
    ServerRegistry registry{{}};
    FleetControl control{client(),
                         state,
                         registry,
                         {.address = {}, .readConfiguration = {}, .onServersChanged = [] {}, .onHeartbeat = {}}};
};

// Guards against a departure that is acknowledged by a host without the servers of the fleet, because it has just been
// elected or has lost its majority: requests then still reach the server.
TEST_CASE_FIXTURE(FleetControlFixture, "the departure of an unknown server is confirmed only by a confirmed leader")
{
    confirmed = false;
    const auto refused = deregister("s1");
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == FleetControl::RefusalCode::Unavailable);
    CHECK(proposals == 0);
    // The host becomes leader while the call waits, and learns of the server from the log.
    confirmed = true;
    const ServerIdentity identity{.id = TargetId("s1"), .startedAt = Incarnation(1)};
    onConfirmed = [this, identity] {
        ServerHeartbeat server;
        server.identity = identity;
        server.service = ServiceName("engines");
        server.endpoint = {.host = "10.0.0.1", .port = 80};
        CHECK(registry.addUnannounced(server, false, Clock::now()));
    };
    CHECK(deregister("s1").has_value());
    CHECK(proposals == 1);
    CHECK(state.departures().contains(identity));
}

// Guards against a departure that is acknowledged and recorded nowhere, because the heartbeats of the server had
// stopped: one that arrives late then makes it a new server.
TEST_CASE_FIXTURE(FleetControlFixture, "the departure of an unknown server is recorded once")
{
    CHECK(deregister("s1").has_value());
    CHECK(proposals == 1);
    CHECK(state.hasEnded(TargetId("s1")));
    CHECK(deregister("s1").has_value());
    CHECK(proposals == 1);
    CHECK(deregister("no\nname").has_value());
    CHECK(proposals == 1);
}

// Guards against a delayed heartbeat that registers a server while its departure is on its way to the log.
TEST_CASE_FIXTURE(FleetControlFixture, "a server that is registered while its departure is being recorded has left")
{
    ServerHeartbeat late;
    late.identity = {.id = TargetId("s1"), .startedAt = Incarnation(1)};
    late.service = ServiceName("engines");
    late.endpoint = {.host = "10.0.0.1", .port = 80};
    onRecorded = [this, late] {
        CHECK(registry.heartbeat(late, Clock::now()) == ServerRegistry::HeartbeatResult::Changed);
        state.apply(1, std::chrono::system_clock::now(), NoteServer{.server = late, .registered = true});
    };
    CHECK(deregister("s1").has_value());
    CHECK(state.hasEnded(late.identity.id));
    REQUIRE(state.departures().contains(late.identity));
    CHECK(registry.find(late.identity.id)->draining);
}
