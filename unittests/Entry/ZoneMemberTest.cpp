#include "ZoneFixture.h"

#include <doctest/doctest.h>

namespace asio = boost::asio;
using namespace tamarackcove;

static const AdapterRef Rules("rules", "1");
static const AdapterRef Forms("forms", "2");

static ZoneOptions singleEntryOptions()
{
    ZoneOptions options;
    options.self = EntryId("e1");
    options.zone = Zone("a");
    options.listen = {.host = "127.0.0.1", .port = 0};
    return options;
}

static LoadDemand demandFor(const AdapterRef &adapter)
{
    LoadDemand demand;
    demand.adapter = adapter;
    demand.waiting = 1;
    demand.arrivals = 1;
    return demand;
}

static void startEntry(Supervisor &root, ZoneEntry &entry, const std::string &name)
{
    REQUIRE(entry.zone.listen(root.executor()).has_value());
    root.start(name, [&entry] { return entry.zone.run(); });
}

TEST_CASE("an entry without peers becomes coordinator at once and loads the adapters that requests wait for")
{
    ZoneTest zoneTest;
    ZoneEntry entry(singleEntryOptions());
    startEntry(zoneTest.root, entry, "zone");
    StubEngine engine(zoneTest.root, "t1", 1);
    zoneTest.run([&]() -> asio::awaitable<void> {
        const auto started = Clock::now();
        CHECK(co_await eventually([&] { return entry.zone.isCoordinator(); }, milliseconds(500)));
        CHECK(entry.access.mayDispatch(Clock::now()));
        CHECK(entry.zone.announce(engine.announcement()).status == 200);
        CHECK(co_await eventually([&] { return entry.access.view().find(TargetId("t1")) != nullptr; }));
        entry.access.demand(demandFor(Rules));
        CHECK(co_await eventually([&] { return !entry.access.view().holders(Rules).empty(); }));
        CHECK(Clock::now() - started < seconds(2));
        // The engine has only one slot, so the idle adapter must be evicted before the next one is loaded.
        entry.access.demand(demandFor(Forms));
        CHECK(co_await eventually([&] { return !entry.access.view().holders(Forms).empty(); }));
        CHECK(engine.unloads == 1);
        CHECK(entry.access.view().holders(Rules).empty());
    });
}

TEST_CASE("an adapter that a request uses is not unloaded until the request ends")
{
    ZoneTest zoneTest;
    ZoneEntry entry(singleEntryOptions());
    startEntry(zoneTest.root, entry, "zone");
    StubEngine engine(zoneTest.root, "t1", 1);
    zoneTest.run([&]() -> asio::awaitable<void> {
        CHECK(entry.zone.announce(engine.announcement()).status == 200);
        CHECK(co_await eventually([&] { return entry.zone.isCoordinator(); }));
        CHECK(entry.zone.announce(engine.announcement()).status == 200);
        entry.access.demand(demandFor(Rules));
        CHECK(co_await eventually([&] { return !entry.access.view().holders(Rules).empty(); }));
        entry.pins.pin(TargetId("t1"), Rules);
        entry.access.demand(demandFor(Forms));
        CHECK_FALSE(co_await eventually([&] { return engine.unloads > 0; }, milliseconds(800)));
        entry.pins.unpin(TargetId("t1"), Rules);
        entry.access.demand(demandFor(Forms));
        CHECK(co_await eventually([&] { return !entry.access.view().holders(Forms).empty(); }));
    });
}

TEST_CASE("an announcement with malformed JSON or of another zone is refused with status 400 and the reason")
{
    ZoneTest zoneTest;
    ZoneEntry entry(singleEntryOptions());
    startEntry(zoneTest.root, entry, "zone");
    zoneTest.run([&]() -> asio::awaitable<void> {
        HttpRequest request;
        request.body = "{";
        CHECK(entry.zone.announce(request).status == 400);
        request.body = R"({"id":"t1","incarnation":1,"zone":"b","kind":"engine","host":"127.0.0.1","port":1,
                           "base_model":"m","adapter_slots":1})";
        const auto wrongZone = entry.zone.announce(request);
        CHECK(wrongZone.status == 400);
        CHECK(wrongZone.body.find("serves zone a") != std::string::npos);
        co_return;
    });
}
