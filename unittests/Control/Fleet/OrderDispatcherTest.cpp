#include "tamarackcove/Control/Fleet/OrderDispatcher.h"

#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpResponse.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

namespace asio = boost::asio;
using namespace tamarackcove;

/// Fixture: the order tasks of a leader, and one server that answers with `response`.
class OrderDispatcherFixture
{
public:
    OrderDispatcherFixture()
    {
        static const bool LogsSetUp = [] {
            initLogging("order-dispatcher", LogLevel::Error);
            return true;
        }();
        REQUIRE(LogsSetUp);
        REQUIRE(http.listen({.host = "127.0.0.1", .port = 0}).has_value());
        connections.start("accept", [this] { return http.run(); });
    }

    /// Has the leader give orders to the server for this long.
    void run(milliseconds time)
    {
        ServerHeartbeat heartbeat;
        heartbeat.identity = {.id = TargetId("s1"), .startedAt = Incarnation(1)};
        heartbeat.service = ServiceName("engines");
        heartbeat.endpoint = {.host = "127.0.0.1", .port = http.port()};
        heartbeat.zone = Zone("z");
        EngineProfile engine;
        engine.slots = engine.adapterSlots = 4;
        engine.weightsMb = 1000;
        planner.updateServer(heartbeat, false, engine, Clock::now());
        dispatcher.begin("c1", FencingNumber(3));
        dispatcher.updateServer(heartbeat);
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                Timer timer(io, time);
                co_await timer.async_wait(asio::use_awaitable);
                dispatcher.end();
                co_await tasks.stop();
                co_await connections.stop();
            },
            [](const std::exception_ptr &error) { REQUIRE_FALSE(error); });
        io.run();
    }

    EngineDialect dialect()
    {
        EngineDialect dialect;
        dialect.stateRequest = [](const ServerIdentity &) {
            HttpRequest request;
            request.target = "/state";
            return request;
        };
        dialect.readReport = [](const HttpResponse &) {
            return std::optional<ServerReport>();
        };
        dialect.saysLeaving = [this](const HttpResponse &) {
            return leaving;
        };
        dialect.retryAfter = [this](const HttpResponse &) {
            return retryAfter;
        };
        return dialect;
    }

    asio::io_context io{1};
    Supervisor connections{io.get_executor(), "server"};
    int requests = 0;
    HttpResponse response = jsonResponse(503, "{}");
    HttpServer http{connections, {}, [this](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
                        ++requests;
                        (void)co_await responder.send(HttpResponse(response));
                    }};
    bool leaving = false;
    std::optional<milliseconds> retryAfter;
    /// Whether the lease of this host is valid, at each check.
    std::function<bool()> mayGiveOrders = [] {
        return true;
    };
    std::vector<ServerIdentity> departed;
    Supervisor tasks{io.get_executor(), "orders"};
    AdapterPlanner planner{{}};
    Metrics metrics;
    OrderDispatcher dispatcher{tasks,
                               planner,
                               dialect(),
                               metrics,
                               {.mayGiveOrders = [this] { return mayGiveOrders(); },
                                .onChange = [] {},
                                .onLeaving =
                                    [this](const ServerIdentity &server) {
                                        departed.push_back(server);
                                    }}};
};

// Guards against an order of a former holder of the order duty, which a server that does not check fencing numbers
// carries out: a host that was paused or cut off opens a connection, and its lease expires meanwhile.
TEST_CASE_FIXTURE(OrderDispatcherFixture, "nothing is sent on a connection that was opened until after the lease")
{
    int checks = 0;
    mayGiveOrders = [&checks] {
        return ++checks == 1;
    };
    run(milliseconds(300));
    CHECK(http.acceptedConnections() == 1);
    CHECK(checks > 1);
    CHECK(requests == 0);
}

// Guards against orders and state reads to a server that has asked for no requests for a while.
TEST_CASE_FIXTURE(OrderDispatcherFixture, "a server that has asked for no requests gets none from the leader")
{
    retryAfter = seconds(10);
    run(milliseconds(500));
    CHECK(requests == 1);
}

// Guards against a server that is leaving and that only the leader knows of.
TEST_CASE_FIXTURE(OrderDispatcherFixture, "a server that tells the leader that it is leaving is reported")
{
    leaving = true;
    retryAfter = seconds(10);
    run(milliseconds(300));
    REQUIRE(departed.size() == 1);
    CHECK(departed.front() == ServerIdentity{.id = TargetId("s1"), .startedAt = Incarnation(1)});
}
