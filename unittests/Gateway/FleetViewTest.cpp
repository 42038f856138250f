#include "tamarackcove/Gateway/FleetView.h"

#include "tamarackcove/Gateway/CallerDialect.h"
#include "tamarackcove/Gateway/GatewaySettings.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/FleetMessages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace asio = boost::asio;
using namespace tamarackcove;

/// Fixture: a FleetView that parses every document as configuration version 3.
class FleetViewFixture
{
public:
    FleetViewFixture()
    {
        static const bool LogsSetUp = [] {
            initLogging("fleet-view", LogLevel::Error);
            return true;
        }();
        REQUIRE(LogsSetUp);
        dialect.readConfiguration = [](std::string_view) -> Result<DeploymentConfiguration, std::string> {
            DeploymentConfiguration configuration;
            configuration.version = 3;
            return configuration;
        };
    }

    /// Waits for a configuration for `atMost`; one arrives after `arrivesAfter`, if set. Returns how long the wait
    /// took.
    Duration wait(milliseconds atMost, std::optional<milliseconds> arrivesAfter)
    {
        const auto startTime = Clock::now();
        Duration waited{0};
        Timer arrival(io);
        if (arrivesAfter) {
            arrival.expires_after(*arrivesAfter);
            arrival.async_wait([this](const boost::system::error_code &) {
                FleetUpdateMessage update;
                update.configurationVersion = 3;
                update.document = "{}";
                view.apply(update, Clock::now(), Clock::now());
            });
        }
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                Timer timer(io);
                co_await view.waitForConfiguration(startTime + atMost, timer);
                waited = Clock::now() - startTime;
            },
            asio::detached);
        io.run();
        return waited;
    }

    asio::io_context io{1};
    GatewaySettings settings;
    CallerDialect dialect;
    FleetView view{io.get_executor(), settings, dialect};
};

TEST_CASE("a wait for the first configuration ends as soon as the configuration arrives")
{
    FleetViewFixture fixture;
    const auto waited = fixture.wait(seconds(20), milliseconds(30));
    CHECK(fixture.view.routes() != nullptr);
    CHECK(waited >= milliseconds(30));
    CHECK(waited < seconds(10));
}

TEST_CASE("a wait for the first configuration ends at its deadline if none arrives")
{
    FleetViewFixture fixture;
    const auto waited = fixture.wait(milliseconds(50), std::nullopt);
    CHECK(fixture.view.routes() == nullptr);
    CHECK(waited >= milliseconds(50));
}

// Guards against entries that report at each update of the leader, while the leader sends updates in answer to reports.
TEST_CASE("a request that waits for an adapter is one new demand, however often changes wake it")
{
    FleetViewFixture fixture;
    auto &view = fixture.view;
    int newDemands = 0;
    view.onNewDemand = [&] {
        ++newDemands;
    };
    const AdapterKey adapter{BaseModel("m"), "a1"};
    int waits = 0;
    const auto end = Clock::now() + seconds(20);
    asio::co_spawn(
        fixture.io,
        [&]() -> asio::awaitable<void> {
            Timer timer(fixture.io);
            for (; waits < 10; ++waits) {
                FleetView::Wait wait{
                    .adapter = adapter, .version = 0, .requestsLoad = true, .failedServers = 0, .until = end};
                co_await view.waitForAdapter(std::move(wait), timer);
            }
        },
        asio::detached);
    fixture.io.poll();
    REQUIRE(newDemands == 1);
    CHECK(view.takeNewDemands().demands.size() == 1);
    for (int change = 0; change < 10; ++change) {
        FleetUpdateMessage update;
        update.removed = {"some server"};
        view.apply(update, Clock::now(), Clock::now());
        fixture.io.poll();
        CHECK(view.takeNewDemands().demands.empty());
    }
    CHECK(waits == 10);
    CHECK(newDemands == 1);
    // Nothing waits any more, so the demand ends with the next report.
    CHECK(view.takeReport(false, false).demands.empty());
}

// Guards against requests that are sent, each at the cost of a retry, to servers that have unloaded their adapter while
// the entry was disconnected.
TEST_CASE("holdings that the whole state does not list are forgotten at servers whose state the leader knows")
{
    FleetViewFixture fixture;
    auto &view = fixture.view;
    FleetUpdateMessage first;
    for (const auto *id : {"s1", "s2"}) {
        first.servers.push_back({.id = id,
                                 .startedAt = 1,
                                 .service = "engines",
                                 .endpoint = "127.0.0.1:80",
                                 .zone = "z",
                                 .slots = 8,
                                 .draining = false,
                                 .models = {"m"}});
        first.holdings.push_back({.server = id, .model = "m", .adapter = "old", .version = 1, .readyAtMs = 0});
    }
    const auto now = Clock::now();
    view.apply(first, now, now);
    FleetUpdateMessage wholeState;
    wholeState.servers = first.servers;
    wholeState.relisted = {"s1"};
    wholeState.holdings = {{.server = "s1", .model = "m", .adapter = "new", .version = 1, .readyAtMs = 0}};
    view.apply(wholeState, now, now);
    const auto holds = [&](const std::string &adapter, const std::string &other) {
        return view.servers()
            .choose({.service = ServiceName("engines"),
                     .model = BaseModel("m"),
                     .adapter = AdapterKey{BaseModel("m"), adapter},
                     .minVersion = 0,
                     .excluded = {TargetId(other)}},
                    now)
            .has_value();
    };
    CHECK_FALSE(holds("old", "s2"));
    CHECK(holds("new", "s2"));
    // The leader has not read the state of this server yet.
    CHECK(holds("old", "s1"));
}

// Guards against entries that choose as if they were few, or that know neither the memory in use nor the slow servers.
TEST_CASE("among many entries, reports and updates carry memory in use, slowness and observed times")
{
    FleetViewFixture fixture;
    auto &view = fixture.view;
    const auto now = Clock::now();
    view.noteStatus(70, now);
    CHECK(view.servers().hasManyEntries());
    FleetUpdateMessage update;
    update.servers = {{.id = "s1", .service = "s", .endpoint = "10.0.0.1:80", .zone = "z", .slots = 16}};
    update.loads = {{.server = "s1", .load = 4, .memoryTokens = 3000, .slowness = 2.5}};
    view.apply(update, now, now);
    view.servers().setMemory(ServiceName("s"), 10000);
    const auto choice = view.servers().choose({.service = ServiceName("s"), .memoryTokens = 5000}, now);
    REQUIRE(choice.has_value());
    CHECK(choice->slowness == 2.5);
    CHECK(choice->loadAge == Duration(0));
    CHECK_FALSE(view.servers().choose({.service = ServiceName("s"), .memoryTokens = 6000}, now).has_value());
    view.servers().startRequest(TargetId("s1"), 1);
    view.servers().reserveMemory(TargetId("s1"), 800);
    view.servers().recordUnitTime(TargetId("s1"), milliseconds(7));
    const auto report = view.takeReport(false, false);
    REQUIRE(report.loads.size() == 1);
    CHECK(report.loads[0].memoryTokens == 800);
    REQUIRE(report.timeRatios.size() == 1);
    CHECK(report.timeRatios[0].server == "s1");
    CHECK(report.timeRatios[0].count == 1);
    CHECK(view.takeReport(false, false).timeRatios.empty());
}
