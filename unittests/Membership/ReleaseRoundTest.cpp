#include "tamarackcove/Membership/ReleaseRound.h"
#include "tamarackcove/Membership/ReleaseMarks.h"
#include "tamarackcove/Membership/TakeoverKnowledge.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const EntryId A("a");
static const EntryId B("b");
static const EntryId C("c");
static const ReleaseMarks::Pair Held{TargetId("t"), AdapterRef("rules", "1")};

static ReleaseRound round()
{
    ReleaseRound::Options options;
    options.entries = {A, B, C};
    options.minAnswers = 2;
    return ReleaseRound(options, Start);
}

TEST_CASE("an eviction needs all entries, and one that uses the adapter refuses it")
{
    auto all = round();
    all.onAnswer(A, true);
    all.onAnswer(B, true);
    CHECK(all.state(Start) == ReleaseState::Waiting);
    all.onAnswer(C, true);
    CHECK(all.state(Start) == ReleaseState::MayEvict);
    auto used = round();
    used.onAnswer(A, true);
    used.onAnswer(C, false);
    CHECK(used.state(Start) == ReleaseState::Refused);
}

TEST_CASE("for a silent entry the view lease must end, and the engine be idle in a state asked for after that")
{
    auto silent = round();
    silent.onAnswer(A, true);
    silent.onAnswer(B, true);
    const auto leaseEnd = Start + seconds(3);
    CHECK(silent.state(Start + seconds(2)) == ReleaseState::Waiting);
    CHECK(silent.silentEntries(Start + seconds(2)) == std::set<EntryId>{C});
    silent.noteViewLeaseEnd(C, leaseEnd);
    silent.noteEngineState(leaseEnd - milliseconds(1), 0);
    CHECK(silent.state(leaseEnd + milliseconds(1)) == ReleaseState::NeedsEngineState);
    silent.noteEngineState(leaseEnd + milliseconds(1), 1);
    CHECK(silent.state(leaseEnd + milliseconds(2)) == ReleaseState::NeedsEngineState);
    silent.noteEngineState(leaseEnd + milliseconds(2), 0);
    CHECK(silent.state(leaseEnd + milliseconds(3)) == ReleaseState::MayEvict);
}

TEST_CASE("without a majority of answers nothing is evicted, since a later coordinator would not learn of it")
{
    auto alone = round();
    alone.onAnswer(A, true);
    CHECK(alone.state(Start + seconds(2)) == ReleaseState::Refused);
}

TEST_CASE("a round that takes too long is refused even when the engine is idle")
{
    auto slow = round();
    slow.onAnswer(A, true);
    slow.onAnswer(B, true);
    slow.noteViewLeaseEnd(C, Start + seconds(2));
    slow.noteEngineState(Start + seconds(3), 0);
    CHECK(slow.state(Start + seconds(7)) == ReleaseState::Refused);
}

TEST_CASE("a mark stays until its time or until a coordinator that is as new knows better")
{
    ReleaseMarks marks(Start, seconds(16));
    marks.mark(Held, FencingNumber(5), Start);
    marks.clear(Held, FencingNumber(4));
    CHECK(marks.active(Start + seconds(15)).size() == 1);
    CHECK(marks.active(Start + seconds(16)).empty());
    marks.clear(Held, FencingNumber(6));
    CHECK(marks.active(Start).empty());
    CHECK_FALSE(marks.complete(Start + seconds(15)));
    CHECK(marks.complete(Start + seconds(16)));
}

TEST_CASE("a candidate knows all releases when enough of its voters do")
{
    TakeoverKnowledge knowledge;
    knowledge.noteVoter(FencingNumber(7), A, true, {});
    CHECK_FALSE(knowledge.complete(3));
    knowledge.noteVoter(FencingNumber(7), B, false, {Held});
    CHECK_FALSE(knowledge.complete(3));
    knowledge.noteVoter(FencingNumber(7), C, true, {});
    CHECK(knowledge.complete(3));
    CHECK(knowledge.released().contains(Held));
    knowledge.noteVoter(FencingNumber(8), A, true, {});
    CHECK_FALSE(knowledge.complete(3));
    CHECK(knowledge.released().empty());
}
