#include "tamarackcove/Fleet/FleetState.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr std::chrono::system_clock::time_point Start{std::chrono::hours(1)};

TEST_CASE("a configuration of the same or a lower version is ignored")
{
    FleetState state;
    state.apply(1, Start, PutConfiguration{.version = 7, .document = "seven"});
    state.apply(2, Start, PutConfiguration{.version = 7, .document = "other"});
    state.apply(3, Start, PutConfiguration{.version = 6, .document = "six"});
    CHECK(*state.document() == "seven");
    CHECK(state.configurationVersion() == 7);
    CHECK(state.revision() == Revision(1));
}

TEST_CASE("a lower version of weights is ignored")
{
    FleetState state;
    const AdapterKey key{BaseModel("m"), "a1"};
    state.apply(1, Start, PutWeightVersion{.key = key, .version = 3});
    state.apply(2, Start, PutWeightVersion{.key = key, .version = 2});
    CHECK(state.weightVersions().at(key) == 3);
}

TEST_CASE("each holder of the order duty has a higher fencing number")
{
    FleetState state;
    state.apply(4, Start, TakeOrderDuty{.holder = "a"});
    const auto first = state.duty().fence;
    state.apply(9, Start, TakeOrderDuty{.holder = "b"});
    CHECK(state.duty().fence > first);
    CHECK(state.duty().holder == "b");
}

// Guards against a replicated state that keeps what no late heartbeat can need, and against one that forgets that a
// server has ended.
TEST_CASE("a departure is kept for its retention time, and a server that has ended never goes back to draining")
{
    FleetState state;
    const ServerIdentity server{.id = TargetId("s"), .startedAt = Incarnation(1)};
    state.apply(1, Start, NoteDeparture{.server = server, .service = ServiceName("x"), .gone = true});
    state.apply(2, Start, NoteDeparture{.server = server, .service = ServiceName("x"), .gone = false});
    CHECK(state.departures().at(server).gone);
    const auto later = Start + FleetState::DepartureRetention + seconds(1);
    const auto depart = [&](std::size_t number) {
        const ServerIdentity other{.id = TargetId("t" + std::to_string(number)), .startedAt = Incarnation(1)};
        state.apply(3, later, NoteDeparture{.server = other, .service = ServiceName("x"), .gone = false});
    };
    for (std::size_t i = 1; i < FleetState::KeptDepartures; ++i) {
        depart(i);
    }
    CHECK(state.departures().contains(server));
    depart(0);
    CHECK_FALSE(state.departures().contains(server));
}

// Guards against a departure that is lost because the clock of the leader has been set forward: the time of the log
// then says that it is long ago.
TEST_CASE("the latest departures outlive a clock that is set forward, except for those without a start time")
{
    FleetState state;
    const auto depart = [&](const std::string &id, std::uint64_t startedAt, std::chrono::system_clock::time_point at) {
        const ServerIdentity server{.id = TargetId(id), .startedAt = Incarnation(startedAt)};
        state.apply(1, at, NoteDeparture{.server = server, .service = ServiceName("x"), .gone = true});
    };
    depart("a", 1, Start);
    depart("b", 0, Start);
    depart("c", 1, Start + std::chrono::hours(24));
    CHECK(state.hasEnded(TargetId("a")));
    CHECK_FALSE(state.hasEnded(TargetId("b")));
    CHECK(state.hasEnded(TargetId("c")));
}

// Guards against a verdict that never ends, and against one that is forgotten once it has ended.
TEST_CASE("a suspect is in quarantine or on probation, and on probation only after a quarantine that has ended")
{
    FleetState state;
    const CrashSuspect suspect("request:1");
    state.apply(1, Start, QuarantineSuspect{.suspect = suspect});
    CHECK(state.quarantinedSuspects().contains(suspect));
    state.apply(2, Start, ReleaseSuspect{.suspect = suspect, .onProbation = true});
    CHECK(state.quarantinedSuspects().empty());
    CHECK(state.suspectsOnProbation().contains(suspect));
    state.apply(3, Start, QuarantineSuspect{.suspect = suspect});
    CHECK(state.suspectsOnProbation().empty());
    state.apply(4, Start, ReleaseSuspect{.suspect = suspect, .onProbation = false});
    CHECK(state.quarantinedSuspects().empty());
    CHECK(state.suspectsOnProbation().empty());
    CHECK(state.revision() == Revision(0));
}

// Guards against a replicated state that grows with each suspect.
TEST_CASE("the suspects in quarantine and on probation are bounded, and the newest are kept")
{
    FleetState state;
    for (int i = 0; i < 3000; ++i) {
        const CrashSuspect suspect("request:" + std::to_string(i));
        state.apply(1, Start + seconds(i), QuarantineSuspect{.suspect = suspect});
    }
    CHECK(state.quarantinedSuspects().size() == FleetState::MaxSuspects);
    CHECK(state.quarantinedSuspects().contains(CrashSuspect("request:2999")));
    for (int i = 0; i < 3000; ++i) {
        const CrashSuspect suspect("request:" + std::to_string(i));
        state.apply(1, Start + seconds(i), ReleaseSuspect{.suspect = suspect, .onProbation = true});
    }
    CHECK(state.suspectsOnProbation().size() == FleetState::MaxSuspects);
    state.apply(1, Start + FleetState::ProbationTime + seconds(4000), ReleaseSuspect{});
    CHECK(state.suspectsOnProbation().empty());
}

static NoteServer noteServer(const std::string &id, std::uint64_t startedAt, bool registered = true)
{
    NoteServer noted;
    noted.server.identity = {.id = TargetId(id), .startedAt = Incarnation(startedAt)};
    noted.registered = registered;
    return noted;
}

static NoteDeparture departureOfUnknownStart(const std::string &id)
{
    return {.server = {.id = TargetId(id), .startedAt = {}}, .service = {}, .gone = true, .startKnown = false};
}

// Guards against a departure that is acknowledged and not recorded, as the server is not registered when it leaves.
TEST_CASE("the departure of a server without a known start is that of the newest start on record")
{
    FleetState state;
    const ServerIdentity server{.id = TargetId("s"), .startedAt = Incarnation(5)};
    state.apply(1, Start, noteServer("s", 5));
    SUBCASE("which is registered")
    {
    }
    SUBCASE("which was removed")
    {
        state.apply(2, Start, noteServer("s", 5, false));
    }
    CHECK_FALSE(state.hasEnded(server.id));
    state.apply(3, Start, departureOfUnknownStart("s"));
    REQUIRE(state.departures().contains(server));
    CHECK(state.departures().at(server).gone);
    CHECK_FALSE(state.departures().at(server).anyStart);
    CHECK(state.hasEnded(server.id));
    state.apply(4, Start, noteServer("s", 6));
    CHECK_FALSE(state.hasEnded(server.id));
}

// Guards against a start that is refused although it came after the departure, and against a departure that is lost
// because nothing was on record.
TEST_CASE("a departure of any start is kept until a start is registered")
{
    FleetState state;
    state.apply(1, Start, departureOfUnknownStart("s"));
    REQUIRE(state.departures().size() == 1);
    CHECK(state.departures().begin()->second.anyStart);
    CHECK(state.hasEnded(TargetId("s")));
    state.apply(2, Start, noteServer("s", 7));
    CHECK(state.departures().empty());
    CHECK(state.servers().contains(TargetId("s")));
}

// Guards against records that are appended to the log in another order than they were proposed: a server that has left
// is offered again by the next leader, or a new start is unknown to it.
TEST_CASE("a record of a server that is appended late changes nothing that has come after it")
{
    FleetState state;
    const ServerIdentity server{.id = TargetId("s"), .startedAt = Incarnation(5)};
    state.apply(1, Start, NoteDeparture{.server = server, .service = ServiceName("x"), .gone = true});
    state.apply(2, Start, noteServer("s", 5));
    CHECK_FALSE(state.servers().contains(server.id));
    state.apply(3, Start, noteServer("s", 6));
    state.apply(4, Start, noteServer("s", 5, false));
    CHECK(state.servers().contains(server.id));
}

// Guards against a replicated state that grows with each server that has ever left.
TEST_CASE("departures and former servers are bounded, and the newest are kept")
{
    FleetState state;
    constexpr std::size_t Servers = FleetState::MaxDepartures + 100;
    for (std::size_t i = 0; i < Servers; ++i) {
        const auto id = "s" + std::to_string(i);
        const auto time = Start + milliseconds(i);
        state.apply(i, time, departureOfUnknownStart(id));
        state.apply(i, time, noteServer("former" + id, 1, false));
    }
    CHECK(state.departures().size() == FleetState::MaxDepartures);
    CHECK(state.image().formerServers.size() == FleetState::MaxDepartures);
    CHECK(state.hasEnded(TargetId("s" + std::to_string(Servers - 1))));
    state.apply(1, Start + FleetState::DepartureRetention + seconds(10), noteServer("last", 1, false));
    CHECK(state.image().formerServers.size() == FleetState::KeptDepartures);
    CHECK(state.image().formerServers.contains(TargetId("last")));
}
