#include "tamarackcove/Control/Fleet/FleetCodec.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr std::chrono::system_clock::time_point Start{std::chrono::hours(1)};

static void applyEncoded(FleetState &state, const FleetCommand &command)
{
    const auto decoded = decodeFleetCommand(encodeFleetCommand(command));
    REQUIRE(decoded.has_value());
    state.apply(1, Start, decoded.value());
}

// Guards against verdicts that are lost with a restart or a snapshot.
TEST_CASE("verdicts on suspects survive the encoding of commands and of snapshots")
{
    FleetState state;
    const CrashSuspect quarantined("request:1");
    const CrashSuspect released("part");
    applyEncoded(state, QuarantineSuspect{.suspect = quarantined});
    applyEncoded(state, QuarantineSuspect{.suspect = released});
    applyEncoded(state, ReleaseSuspect{.suspect = released, .onProbation = true});
    auto image = decodeFleetImage(encodeFleetImage(state.image()));
    REQUIRE(image.has_value());
    FleetState restored;
    restored.restore(std::move(image).value());
    CHECK(restored.quarantinedSuspects() == FleetState::SuspectTimes{{quarantined, Start}});
    CHECK(restored.suspectsOnProbation() == FleetState::SuspectTimes{{released, Start}});
}

// Guards against departures that a leader does not know because it has them from a snapshot.
TEST_CASE("departures and former servers survive the encoding of commands and of snapshots")
{
    FleetState state;
    NoteServer former;
    former.server.identity = {.id = TargetId("former"), .startedAt = Incarnation(3)};
    former.registered = false;
    const ServerIdentity known{.id = TargetId("known"), .startedAt = Incarnation(5)};
    applyEncoded(state, former);
    applyEncoded(state, NoteDeparture{.server = known, .service = ServiceName("x"), .gone = true});
    applyEncoded(state, NoteDeparture{.server = {.id = TargetId("unknown")}, .gone = true, .startKnown = false});
    auto image = decodeFleetImage(encodeFleetImage(state.image()));
    REQUIRE(image.has_value());
    FleetState restored;
    restored.restore(std::move(image).value());
    CHECK_FALSE(restored.departures().at(known).anyStart);
    CHECK(restored.departures().at({.id = TargetId("unknown")}).anyStart);
    applyEncoded(restored, NoteDeparture{.server = {.id = TargetId("former")}, .gone = true, .startKnown = false});
    CHECK(restored.departures().contains({.id = TargetId("former"), .startedAt = Incarnation(3)}));
}
