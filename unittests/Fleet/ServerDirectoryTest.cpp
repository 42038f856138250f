#include "tamarackcove/Fleet/ServerDirectory.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
static const AdapterKey Adapter{BaseModel("m"), "a1"};

static OfferedServer server(const std::string &id, const std::string &zone = "here", std::uint64_t startedAt = 1)
{
    return {.identity = {.id = TargetId(id), .startedAt = Incarnation(startedAt)},
            .service = ServiceName("s"),
            .endpoint = {.host = "10.0.0.1", .port = 80},
            .zone = Zone(zone),
            .slots = 8,
            .draining = false,
            .models = {BaseModel("m")}};
}

static ServerDirectory directory()
{
    return ServerDirectory({.zone = Zone("here")});
}

static ServerDirectory::Requirements requirements(bool adapter)
{
    ServerDirectory::Requirements result;
    result.service = ServiceName("s");
    result.model = BaseModel("m");
    if (adapter) {
        result.adapter = Adapter;
    }
    return result;
}

TEST_CASE("a server that drains, or that the request has been sent to, is not chosen")
{
    auto servers = directory();
    auto leaving = server("a");
    leaving.draining = true;
    servers.put(leaving);
    CHECK_FALSE(servers.choose(requirements(false), Start).has_value());
    servers.put(server("b"));
    CHECK(servers.choose(requirements(false), Start)->server.id == TargetId("b"));
    auto again = requirements(false);
    again.excluded.insert(TargetId("b"));
    CHECK_FALSE(servers.choose(again, Start).has_value());
}

TEST_CASE("a request for an adapter goes only to a server that holds the adapter in the required version")
{
    auto servers = directory();
    servers.put(server("a"));
    servers.put(server("b"));
    CHECK_FALSE(servers.choose(requirements(true), Start).has_value());
    servers.setHolding(TargetId("b"), Adapter, 2, Start);
    CHECK(servers.choose(requirements(true), Start)->server.id == TargetId("b"));
    auto newer = requirements(true);
    newer.minVersion = 3;
    CHECK_FALSE(servers.choose(newer, Start).has_value());
    servers.setHolding(TargetId("b"), Adapter, 0, Start);
    CHECK_FALSE(servers.choose(requirements(true), Start).has_value());
}

TEST_CASE("a server that holds the adapter is preferred to one that is loading it")
{
    auto servers = directory();
    servers.put(server("loading"));
    servers.put(server("holding", "elsewhere"));
    servers.setHolding(TargetId("loading"), Adapter, 1, Start + milliseconds(100));
    CHECK(servers.choose(requirements(true), Start)->readyAt == Start + milliseconds(100));
    servers.setHolding(TargetId("holding"), Adapter, 1, Start);
    CHECK(servers.choose(requirements(true), Start)->server.id == TargetId("holding"));
}

TEST_CASE("a server whose load takes longer than expected can still be chosen")
{
    auto servers = directory();
    servers.put(server("a"));
    servers.setHolding(TargetId("a"), Adapter, 1, Start);
    servers.postpone(TargetId("a"), Adapter, Start + milliseconds(50));
    const auto choice = servers.choose(requirements(true), Start + milliseconds(10));
    REQUIRE(choice.has_value());
    CHECK(choice->readyAt == Start + milliseconds(50));
    CHECK(choice->expectedAt == Start);
}

TEST_CASE("a server that has restarted holds no adapters")
{
    auto servers = directory();
    servers.put(server("a"));
    servers.setHolding(TargetId("a"), Adapter, 1, Start);
    servers.put(server("a", "here", 2));
    CHECK_FALSE(servers.choose(requirements(true), Start).has_value());
}

TEST_CASE("the choice counts the load of other entries, and prefers the own zone at equal load")
{
    auto servers = directory();
    servers.put(server("near"));
    servers.put(server("far", "elsewhere"));
    CHECK(servers.choose(requirements(false), Start)->server.id == TargetId("near"));
    servers.setLoad(TargetId("near"), 6);
    CHECK(servers.choose(requirements(false), Start)->server.id == TargetId("far"));
}

TEST_CASE("a server with a broken answer is avoided for a limited time while another server can take requests")
{
    auto servers = directory();
    servers.put(server("broken"));
    servers.put(server("far", "elsewhere"));
    servers.startRequest(TargetId("broken"), 1);
    servers.endRequest(TargetId("broken"), 1, ServerOutcome::Broken, Start);
    CHECK(servers.choose(requirements(false), Start)->server.id == TargetId("far"));
    CHECK_FALSE(servers.choose(requirements(false), Start)->avoided);
    servers.remove(TargetId("far"));
    CHECK(servers.choose(requirements(false), Start)->server.id == TargetId("broken"));
    CHECK(servers.choose(requirements(false), Start)->avoided);
    servers.put(server("far", "elsewhere"));
    CHECK(servers.choose(requirements(false), Start + seconds(5))->server.id == TargetId("broken"));
}
