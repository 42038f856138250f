#include "tamarackcove/Fleet/ServerRegistry.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
static const Endpoint Address{.host = "10.0.0.1", .port = 80};

static ServerHeartbeat heartbeat(const std::string &id, std::uint64_t startedAt, std::uint64_t sequence)
{
    ServerHeartbeat message;
    message.identity = {.id = TargetId(id), .startedAt = Incarnation(startedAt)};
    message.service = ServiceName("s");
    message.endpoint = Address;
    message.zone = Zone("z");
    message.slots = 4;
    message.sequence = sequence;
    return message;
}

using HeartbeatResult = ServerRegistry::HeartbeatResult;

TEST_CASE("a heartbeat that arrives after a newer one is ignored")
{
    ServerRegistry registry({});
    CHECK(registry.heartbeat(heartbeat("a", 1, 5), Start) == HeartbeatResult::Changed);
    auto late = heartbeat("a", 1, 4);
    late.draining = true;
    CHECK(registry.heartbeat(late, Start) == HeartbeatResult::Outdated);
    CHECK_FALSE(registry.find(TargetId("a"))->draining);
}

TEST_CASE("a restarted server replaces its earlier start, whose delayed heartbeats are ignored")
{
    ServerRegistry registry({});
    (void)registry.heartbeat(heartbeat("a", 1, 50), Start);
    CHECK(registry.heartbeat(heartbeat("a", 2, 1), Start) == HeartbeatResult::Changed);
    CHECK(registry.heartbeat(heartbeat("a", 1, 51), Start) == HeartbeatResult::Outdated);
    CHECK(registry.find(TargetId("a"))->lastHeartbeat.identity.startedAt == Incarnation(2));
}

TEST_CASE("a delayed heartbeat of a crashed server does not replace its successor at the same address")
{
    ServerRegistry registry({});
    (void)registry.heartbeat(heartbeat("new", 9, 1), Start);
    CHECK(registry.heartbeat(heartbeat("old", 3, 70), Start) == HeartbeatResult::Outdated);
    CHECK(registry.find(TargetId("old")) == nullptr);
    CHECK(registry.find(TargetId("new")) != nullptr);
}

TEST_CASE("a newer server replaces an older one at the same address")
{
    ServerRegistry registry({});
    (void)registry.heartbeat(heartbeat("old", 3, 70), Start);
    (void)registry.heartbeat(heartbeat("new", 9, 1), Start);
    CHECK(registry.find(TargetId("old")) == nullptr);
}

TEST_CASE("a departure in the replicated state overrides later heartbeats of that start")
{
    ServerRegistry registry({});
    registry.applyDeparture({.id = TargetId("a"), .startedAt = Incarnation(1)}, false);
    (void)registry.heartbeat(heartbeat("a", 1, 7), Start);
    CHECK(registry.find(TargetId("a"))->draining);
    CHECK_FALSE([&] {
        (void)registry.heartbeat(heartbeat("a", 2, 1), Start);
        return registry.find(TargetId("a"))->draining;
    }());
}

TEST_CASE("a heartbeat that drains is reported as a departure only until the departure is recorded")
{
    ServerRegistry registry({});
    auto leaving = heartbeat("a", 1, 2);
    leaving.draining = true;
    CHECK(registry.heartbeat(leaving, Start) == HeartbeatResult::Departing);
    registry.applyDeparture(leaving.identity, false);
    leaving.sequence = 3;
    CHECK(registry.heartbeat(leaving, Start) == HeartbeatResult::Unchanged);
}

TEST_CASE("a server without heartbeats is removed, and the removal is reported as a change")
{
    ServerRegistry registry({.heartbeatTimeout = milliseconds(1000)});
    (void)registry.heartbeat(heartbeat("a", 1, 2), Start);
    (void)registry.takeChanges();
    registry.expire(Start + milliseconds(999));
    CHECK(registry.find(TargetId("a")) != nullptr);
    registry.expire(Start + milliseconds(1001));
    CHECK(registry.find(TargetId("a")) == nullptr);
    CHECK(registry.takeChanges().contains(TargetId("a")));
}

TEST_CASE("a heartbeat replaces what an entry has reported about the server at the same address")
{
    ServerRegistry registry({});
    CHECK(registry.addUnannounced(heartbeat("a", 1, 0), false, Start));
    CHECK_FALSE(registry.addUnannounced(heartbeat("b", 2, 0), false, Start));
    CHECK(registry.heartbeat(heartbeat("b", 2, 1), Start) == HeartbeatResult::Changed);
    CHECK(registry.find(TargetId("a")) == nullptr);
}

// Guards against an entry with an outdated list that makes the leader offer a server again that has stopped, or one
// whose address another server has taken over since.
TEST_CASE("the address of a removed server can be announced only by a heartbeat of a server that started later")
{
    ServerRegistry registry({.heartbeatTimeout = milliseconds(1000)});
    (void)registry.heartbeat(heartbeat("old", 3, 70), Start);
    (void)registry.heartbeat(heartbeat("new", 9, 1), Start);
    const auto later = Start + milliseconds(1001);
    registry.expire(later);
    REQUIRE(registry.servers().empty());
    CHECK_FALSE(registry.addUnannounced(heartbeat("old", 3, 0), false, later));
    CHECK_FALSE(registry.addUnannounced(heartbeat("new", 9, 0), false, later));
    CHECK_FALSE(registry.addUnannounced(heartbeat("newest", 12, 0), false, later));
    CHECK(registry.heartbeat(heartbeat("old", 3, 71), later) == HeartbeatResult::Outdated);
    CHECK(registry.servers().empty());
    CHECK(registry.heartbeat(heartbeat("newest", 12, 1), later) == HeartbeatResult::Changed);
    CHECK(registry.find(TargetId("newest")) != nullptr);
}

// Guards against a server that is taken as crashed while it sends heartbeats, and against one that never is.
TEST_CASE("a start of a server seems to have ended once a later one has replaced it or its heartbeats have stopped")
{
    ServerRegistry registry({});
    const ServerIdentity first{.id = TargetId("a"), .startedAt = Incarnation(1)};
    const Endpoint elsewhere{.host = "10.0.0.2", .port = 80};
    CHECK_FALSE(registry.seemsEnded(first, Address, Start));
    (void)registry.heartbeat(heartbeat("a", 1, 1), Start);
    CHECK_FALSE(registry.seemsEnded(first, Address, Start + seconds(2)));
    CHECK(registry.seemsEnded(first, Address, Start + seconds(3)));
    registry.expire(Start + seconds(10));
    CHECK(registry.seemsEnded(first, Address, Start + seconds(10)));

    SUBCASE("by a start with another id at its address")
    {
        (void)registry.heartbeat(heartbeat("b", 2, 1), Start + seconds(10));
        CHECK(registry.seemsEnded(first, Address, Start + seconds(10)));
        CHECK_FALSE(registry.seemsEnded(first, elsewhere, Start + seconds(10)));
    }
    SUBCASE("by a later start with its id")
    {
        (void)registry.heartbeat(heartbeat("a", 2, 1), Start + seconds(10));
        CHECK(registry.seemsEnded(first, elsewhere, Start + seconds(10)));
        CHECK_FALSE(
            registry.seemsEnded({.id = TargetId("a"), .startedAt = Incarnation(2)}, Address, Start + seconds(10)));
    }
    SUBCASE("but not when it leaves as planned")
    {
        registry.applyDeparture(first, true);
        CHECK_FALSE(registry.seemsEnded(first, Address, Start + seconds(10)));
    }
}

// Guards against evidence of crashes that entries keep to themselves, as nobody tells them that a server has ended; and
// against evidence of each server that drains.
TEST_CASE("a server whose heartbeats have stopped is silent until it is heard of again, unless it drains")
{
    ServerRegistry registry({.heartbeatTimeout = milliseconds(6000), .maxHeartbeatGap = milliseconds(2500)});
    (void)registry.heartbeat(heartbeat("a", 1, 1), Start);
    auto draining = heartbeat("b", 1, 1);
    draining.endpoint.port = 81;
    draining.draining = true;
    (void)registry.heartbeat(draining, Start);
    CHECK(registry.silentServers(Start + milliseconds(2500)).empty());
    CHECK(registry.silentServers(Start + milliseconds(2501)) == std::set{TargetId("a")});
    (void)registry.heartbeat(heartbeat("a", 1, 2), Start + milliseconds(3000));
    CHECK(registry.silentServers(Start + milliseconds(3000)).empty());
}

// Guards against a delayed heartbeat that makes a new server of one that has left, where nothing is known of the
// server.
TEST_CASE("heartbeats of a server that left before any of its starts was known are ignored for a while")
{
    ServerRegistry registry({.heartbeatDelay = milliseconds(5000)});
    registry.applyDepartureOfAnyStart(TargetId("a"), Start);
    CHECK(registry.hasEnded(heartbeat("a", 1, 1).identity, Start + milliseconds(4999)));
    CHECK(registry.heartbeat(heartbeat("a", 1, 1), Start + milliseconds(4999)) == HeartbeatResult::Outdated);
    CHECK_FALSE(registry.addUnannounced(heartbeat("a", 1, 1), false, Start + milliseconds(4999)));
    CHECK(registry.find(TargetId("a")) == nullptr);
    CHECK(registry.heartbeat(heartbeat("b", 1, 1), Start) == HeartbeatResult::Changed);
    CHECK(registry.heartbeat(heartbeat("a", 2, 2), Start + milliseconds(5000)) == HeartbeatResult::Changed);
}

// Guards against a server that is taken for an earlier start of its own, and against one that comes back because a
// start before the last is heard of late.
TEST_CASE("a departure holds for the start that has left and those before it, and for no later one")
{
    ServerRegistry registry({});
    bool gone = false;
    SUBCASE("which drains")
    {
    }
    SUBCASE("which has ended")
    {
        gone = true;
    }
    registry.applyDeparture(heartbeat("a", 5, 1).identity, gone);
    CHECK(registry.hasEnded(heartbeat("a", 4, 9).identity, Start));
    CHECK(registry.heartbeat(heartbeat("a", 4, 9), Start) == HeartbeatResult::Outdated);
    CHECK(registry.hasEnded(heartbeat("a", 5, 1).identity, Start) == gone);
    CHECK((registry.heartbeat(heartbeat("a", 5, 2), Start) == HeartbeatResult::Outdated) == gone);
    CHECK_FALSE(registry.hasEnded(heartbeat("a", 6, 1).identity, Start));
    CHECK(registry.heartbeat(heartbeat("a", 6, 1), Start) == HeartbeatResult::Changed);
    CHECK_FALSE(registry.find(TargetId("a"))->draining);
}

// Guards against a departure of an earlier start that is recorded in place of that of the present one, because the
// leader before could not record the latter.
TEST_CASE("a later start that an entry reports replaces the one on record, and an earlier one does not")
{
    ServerRegistry registry({});
    REQUIRE(registry.addUnannounced(heartbeat("a", 1, 0), false, Start));
    CHECK(registry.addUnannounced(heartbeat("a", 2, 0), false, Start));
    CHECK_FALSE(registry.addUnannounced(heartbeat("a", 1, 0), false, Start));
    CHECK(registry.find(TargetId("a"))->lastHeartbeat.identity.startedAt == Incarnation(2));
}

// Guards against a leader whose memory grows with each server that leaves.
TEST_CASE("the departures that a registry keeps are bounded, and the newest are kept")
{
    ServerRegistry registry({.maxDepartures = 3});
    for (std::uint64_t startedAt = 1; startedAt <= 9; ++startedAt) {
        registry.applyDeparture(heartbeat("s" + std::to_string(startedAt), startedAt, 1).identity, true);
    }
    CHECK_FALSE(registry.hasEnded(heartbeat("s6", 6, 1).identity, Start));
    CHECK(registry.hasEnded(heartbeat("s7", 7, 1).identity, Start));
    CHECK(registry.hasEnded(heartbeat("s9", 9, 1).identity, Start));
}
