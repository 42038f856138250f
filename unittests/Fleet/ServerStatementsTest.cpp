#include "tamarackcove/Fleet/ServerDirectory.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};

static OfferedServer server(const std::string &id, std::uint64_t startedAt = 1)
{
    return {.identity = {.id = TargetId(id), .startedAt = Incarnation(startedAt)},
            .service = ServiceName("s"),
            .endpoint = {.host = "10.0.0.1", .port = 80},
            .zone = Zone("here"),
            .slots = 8,
            .draining = false,
            .models = {}};
}

static ServerDirectory directory(std::uint64_t seed = 1)
{
    return ServerDirectory({.zone = Zone("here"), .seed = seed});
}

static const ServerDirectory::Requirements Request{.service = ServiceName("s")};

// Guards against requests to a server that has said that it is leaving, while the control host still offers it, removes
// it and offers it again, or cannot be reached.
TEST_CASE("a server that has stated that it is leaving is not chosen, and its next start is")
{
    auto servers = directory();
    servers.put(server("a"));
    CHECK(servers.recordLeaving(server("a").identity, Start));
    CHECK_FALSE(servers.recordLeaving(server("a").identity, Start));
    CHECK_FALSE(servers.choose(Request, Start).has_value());
    CHECK_FALSE(servers.offers(ServiceName("s"), std::nullopt));
    servers.put(server("a"));
    CHECK_FALSE(servers.choose(Request, Start).has_value());
    servers.remove(TargetId("a"));
    servers.put(server("a"));
    CHECK_FALSE(servers.choose(Request, Start).has_value());
    servers.put(server("a", 2));
    CHECK(servers.choose(Request, Start).has_value());
    // The late answer of the earlier start says nothing about the present one.
    CHECK_FALSE(servers.recordLeaving(server("a").identity, Start));
    CHECK(servers.choose(Request, Start).has_value());
}

// Guards against a statement that only one entry ever learns of.
TEST_CASE("a leaving server is reported until the control host offers it as draining")
{
    auto servers = directory();
    servers.put(server("a"));
    servers.put(server("b"));
    CHECK(servers.unannouncedLeaving().empty());
    (void)servers.recordLeaving(server("b").identity, Start);
    REQUIRE(servers.unannouncedLeaving().size() == 1);
    CHECK(servers.unannouncedLeaving().front().identity == server("b").identity);
    auto draining = server("b");
    draining.draining = true;
    servers.put(draining);
    CHECK(servers.unannouncedLeaving().empty());
}

// Guards against a burst on servers that have all asked for no requests: none may get one before its time.
TEST_CASE("a server that has asked for no requests gets none until its time has passed")
{
    auto servers = directory();
    servers.put(server("a"));
    servers.put(server("b"));
    CHECK(servers.pause(server("a").identity, seconds(2), Start) >= seconds(2));
    for (int i = 0; i < 20; ++i) {
        CHECK(servers.choose(Request, Start)->server.id == TargetId("b"));
    }
    (void)servers.pause(server("b").identity, seconds(1), Start);
    CHECK_FALSE(servers.choose(Request, Start).has_value());
    CHECK_FALSE(servers.choose(Request, Start + milliseconds(999)).has_value());
    // The servers still exist, so that a request for an adapter may wait for one.
    CHECK(servers.offers(ServiceName("s"), std::nullopt));
    const auto returnsAt = servers.earliestReturn(Request, Start);
    REQUIRE(returnsAt);
    CHECK(*returnsAt >= Start + seconds(1));
    CHECK(*returnsAt <= Start + milliseconds(1200));
    CHECK(servers.choose(Request, *returnsAt)->server.id == TargetId("b"));
    // A shorter time that is asked for later does not end the first one.
    (void)servers.pause(server("a").identity, milliseconds(1), Start);
    CHECK(servers.choose(Request, Start + milliseconds(1999))->server.id == TargetId("b"));
    // A removed server that is offered again has the same time left; its next start has none.
    servers.remove(TargetId("b"));
    servers.remove(TargetId("a"));
    servers.put(server("a"));
    CHECK_FALSE(servers.choose(Request, Start + milliseconds(1500)).has_value());
    servers.put(server("a", 2));
    CHECK(servers.choose(Request, Start).has_value());
    CHECK_FALSE(servers.earliestReturn(Request, Start).has_value());
}

// Guards against requests that wait for the only holder of their adapter while other servers could load it.
TEST_CASE("paused holders of an adapter are counted, so that it is loaded elsewhere")
{
    const AdapterKey adapter{BaseModel("m"), "a1"};
    auto servers = directory();
    for (const auto *id : {"a", "b"}) {
        servers.put(server(id));
        servers.setHolding(TargetId(id), adapter, 1, Start);
    }
    servers.put(server("c"));
    auto request = Request;
    request.adapter = adapter;
    CHECK(servers.pausedHolders(request, Start) == 0);
    (void)servers.pause(server("a").identity, seconds(2), Start);
    (void)servers.pause(server("c").identity, seconds(2), Start);
    CHECK(servers.pausedHolders(request, Start) == 1);
    CHECK(servers.pausedHolders(request, Start + seconds(3)) == 0);
    CHECK(servers.pausedHolders(Request, Start) == 0);
    // Counted by the request already as a server that has failed it.
    request.excluded.insert(TargetId("a"));
    CHECK(servers.pausedHolders(request, Start) == 0);
}

// Guards against entries that were refused in the same burst and all return in the same instant.
TEST_CASE("entries return to a paused server at different moments, and never before its time")
{
    std::set<TimePoint> returns;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        auto servers = directory(seed);
        servers.put(server("a"));
        (void)servers.pause(server("a").identity, seconds(2), Start);
        const auto returnsAt = *servers.earliestReturn(Request, Start);
        CHECK(returnsAt >= Start + seconds(2));
        CHECK(returnsAt <= Start + milliseconds(2400));
        returns.insert(returnsAt);
    }
    CHECK(returns.size() > 25);
}

// Guards against a server that is never used again after an absurd value.
TEST_CASE("a pause has an upper limit")
{
    auto servers = directory();
    servers.put(server("a"));
    const auto kept = servers.pause(server("a").identity, std::chrono::hours(24), Start);
    CHECK(kept >= seconds(30));
    CHECK(kept <= milliseconds(30500));
    CHECK(servers.choose(Request, Start + milliseconds(30500)).has_value());
    CHECK(servers.pause(server("a").identity, milliseconds(-5), Start) == milliseconds(0));
}

// Guards against requests to a server that has left, while a leader that does not know of it offers the server.
TEST_CASE("a start of a server that has departed is not chosen, whatever is offered later, and its next start is")
{
    auto servers = directory();
    servers.put(server("a"));
    servers.recordDepartures({server("a").identity, server("b").identity}, Start);
    CHECK_FALSE(servers.choose(Request, Start).has_value());
    servers.put(server("a"));
    servers.put(server("b"));
    CHECK_FALSE(servers.choose(Request, Start).has_value());
    CHECK_FALSE(servers.seemsEnded(server("a").identity, Start));
    servers.put(server("b", 2));
    CHECK(servers.choose(Request, Start).has_value());
}
