#include "tamarackcove/Membership/ReleaseRound.h"
#include "tamarackcove/Membership/PriorReleases.h"
#include "tamarackcove/Membership/ReleaseRecords.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const EntryId A("a");
static const EntryId B("b");
static const EntryId C("c");
static const ReleaseRecords::Pair ReleasedPair{TargetId("t"), AdapterRef("rules", "1")};

static ReleaseRound threeEntryRound()
{
    ReleaseRound::Options options;
    options.entries = {A, B, C};
    options.minReleases = 2;
    return ReleaseRound(options, Start);
}

TEST_CASE("an eviction is allowed at once if all entries release the adapter and refused if one of them uses it")
{
    auto allAnswer = threeEntryRound();
    allAnswer.onAnswer(A, true);
    allAnswer.onAnswer(B, true);
    CHECK(allAnswer.state(Start) == ReleaseState::Waiting);
    allAnswer.onAnswer(C, true);
    CHECK(allAnswer.state(Start) == ReleaseState::MayEvict);
    auto oneInUse = threeEntryRound();
    oneInUse.onAnswer(A, true);
    oneInUse.onAnswer(C, false);
    CHECK(oneInUse.state(Start) == ReleaseState::Refused);
}

TEST_CASE("with a silent entry, an engine state requested after its view lease ended must show no running request")
{
    auto oneSilent = threeEntryRound();
    oneSilent.onAnswer(A, true);
    oneSilent.onAnswer(B, true);
    const auto leaseEnd = Start + seconds(3);
    CHECK(oneSilent.state(Start + seconds(2)) == ReleaseState::Waiting);
    CHECK(oneSilent.silentEntries(Start + seconds(2)) == std::set<EntryId>{C});
    oneSilent.setViewLeaseEnd(C, leaseEnd);
    oneSilent.recordEngineState(leaseEnd - milliseconds(1), 0);
    CHECK(oneSilent.state(leaseEnd + milliseconds(1)) == ReleaseState::NeedsEngineState);
    oneSilent.recordEngineState(leaseEnd + milliseconds(1), 1);
    CHECK(oneSilent.state(leaseEnd + milliseconds(2)) == ReleaseState::NeedsEngineState);
    oneSilent.recordEngineState(leaseEnd + milliseconds(2), 0);
    CHECK(oneSilent.state(leaseEnd + milliseconds(3)) == ReleaseState::MayEvict);
}

TEST_CASE("an eviction is refused without releases by a majority, since a later coordinator may not learn of it")
{
    auto oneAnswer = threeEntryRound();
    oneAnswer.onAnswer(A, true);
    CHECK(oneAnswer.state(Start + seconds(2)) == ReleaseState::Refused);
}

TEST_CASE("an eviction is refused after the round timeout even if the engine is idle")
{
    auto slowRound = threeEntryRound();
    slowRound.onAnswer(A, true);
    slowRound.onAnswer(B, true);
    slowRound.setViewLeaseEnd(C, Start + seconds(2));
    slowRound.recordEngineState(Start + seconds(3), 0);
    CHECK(slowRound.state(Start + seconds(7)) == ReleaseState::Refused);
}

TEST_CASE("a release record lasts until it expires or a coordinator that is not older clears it")
{
    ReleaseRecords marks(Start, seconds(16));
    marks.recordRelease(ReleasedPair, FencingNumber(5), Start);
    marks.clear(ReleasedPair, FencingNumber(4));
    CHECK(marks.activeReleases(Start + seconds(15)).size() == 1);
    CHECK(marks.activeReleases(Start + seconds(16)).empty());
    marks.clear(ReleasedPair, FencingNumber(6));
    CHECK(marks.activeReleases(Start).empty());
    CHECK_FALSE(marks.isComplete(Start + seconds(15)));
    CHECK(marks.isComplete(Start + seconds(16)));
}

TEST_CASE("a candidate knows all earlier releases once enough voters with complete records have reported")
{
    PriorReleases knowledge;
    knowledge.addVoterReleases(FencingNumber(7), A, true, {});
    CHECK_FALSE(knowledge.complete(3));
    knowledge.addVoterReleases(FencingNumber(7), B, false, {ReleasedPair});
    CHECK_FALSE(knowledge.complete(3));
    knowledge.addVoterReleases(FencingNumber(7), C, true, {});
    CHECK(knowledge.complete(3));
    CHECK(knowledge.released().contains(ReleasedPair));
    knowledge.addVoterReleases(FencingNumber(8), A, true, {});
    CHECK_FALSE(knowledge.complete(3));
    CHECK(knowledge.released().empty());
}
