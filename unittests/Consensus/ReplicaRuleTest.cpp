#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
static const ReplicaId Self("r1");
static const ReplicaId Other("r2");
static const ReplicaId Third("r3");

static ReplicaGroup trio()
{
    return {.groupId = "g",
            .members = {{.id = Self, .name = "c1", .voter = true},
                        {.id = Other, .name = "c2", .voter = true},
                        {.id = Third, .name = "c3", .voter = true}}};
}

static LogEntryPtr entry(LogIndex index, Term term)
{
    return std::make_shared<const LogEntry>(LogEntry{.index = index, .term = term, .kind = EntryKind::Command});
}

/// A replica that has restarted with the group in its log and these terms after it.
static Replica restarted(std::vector<Term> terms = {})
{
    RecoveredState state;
    state.self = Self;
    state.hardState.term = std::max<Term>(1, terms.empty() ? 1 : terms.back());
    state.entries.push_back(
        std::make_shared<const LogEntry>(LogEntry{.index = 1, .term = 1, .kind = EntryKind::Group, .group = trio()}));
    for (const auto term : terms) {
        state.entries.push_back(entry(state.entries.size() + 1, term));
    }
    ReplicaOptions options;
    options.random = [] {
        return std::uint64_t{0};
    };
    return {std::move(options), std::move(state), Start};
}

static ReplicaMessage from(const ReplicaId &sender, Term term, decltype(ReplicaMessage::body) body)
{
    return {.from = sender, .to = Self, .groupId = "g", .term = term, .body = std::move(body)};
}

template<typename T>
static std::vector<T> sent(const ReplicaOutput &output)
{
    std::vector<T> found;
    for (const auto &message : output.messages) {
        if (const auto *body = std::get_if<T>(&message.body)) {
            found.push_back(*body);
        }
    }
    return found;
}

static const VoteRequest LongLog{.lastIndex = 100, .lastTerm = 100};

TEST_CASE("a vote leaves only after it is on the disk, and only one candidate of a term gets it")
{
    auto replica = restarted();
    const auto later = Start + seconds(1);
    replica.receive(from(Other, 5, LongLog), later);
    const auto first = replica.takeOutput(later);
    CHECK(sent<VoteReply>(first).empty());
    REQUIRE(first.persist);
    CHECK(first.persist->hardState == HardState{.term = 5, .votedFor = Other});
    replica.receive(from(Third, 5, LongLog), later);
    replica.persisted(first.persist->sequence, later);
    const auto replies = sent<VoteReply>(replica.takeOutput(later));
    REQUIRE(replies.size() == 2);
    CHECK(replies[0].granted);
    CHECK_FALSE(replies[1].granted);
}

TEST_CASE("entries are acknowledged only after they are on the disk")
{
    auto replica = restarted();
    replica.receive(from(Other, 2, AppendRequest{.previousIndex = 1, .previousTerm = 1, .entries = {entry(2, 2)}}),
                    Start);
    const auto output = replica.takeOutput(Start);
    CHECK(sent<AppendReply>(output).empty());
    replica.persisted(output.persist->sequence, Start);
    const auto replies = sent<AppendReply>(replica.takeOutput(Start));
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].accepted);
    CHECK(replies[0].matchedIndex == 2);
}

TEST_CASE("a heartbeat during a sync is answered at once but acknowledges no entry that is not on the disk")
{
    auto replica = restarted();
    replica.receive(from(Other, 2, AppendRequest{.previousIndex = 1, .previousTerm = 1}), Start);
    replica.persisted(replica.takeOutput(Start).persist->sequence, Start);
    (void)replica.takeOutput(Start);
    replica.receive(from(Other, 2, AppendRequest{.previousIndex = 1, .previousTerm = 1, .entries = {entry(2, 2)}}),
                    Start);
    (void)replica.takeOutput(Start);
    replica.receive(from(Other, 2, AppendRequest{.previousIndex = 2, .previousTerm = 2}), Start);
    const auto replies = sent<AppendReply>(replica.takeOutput(Start));
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].matchedIndex == 1);
}

TEST_CASE("a voter keeps its promise to a leader, also over a restart, unless the leader hands over")
{
    struct Row
    {
        const char *name;
        milliseconds afterRestart;
        bool transfer;
        bool granted;
    };
    for (const auto &row : {Row{"within the promise", milliseconds(299), false, false},
                            Row{"after the promise", milliseconds(300), false, true},
                            Row{"handing over", milliseconds(10), true, true}}) {
        CAPTURE(row.name);
        auto replica = restarted();
        const auto now = Start + row.afterRestart;
        auto request = LongLog;
        request.transfer = row.transfer;
        replica.receive(from(Other, 5, request), now);
        const auto output = replica.takeOutput(now);
        CHECK((output.persist && output.persist->hardState->votedFor == Other) == row.granted);
        CHECK((replica.term() == 5) == row.granted);
    }
}

TEST_CASE("a vote goes only to a log that is at least as new")
{
    struct Row
    {
        Term lastTerm;
        LogIndex lastIndex;
        bool granted;
    };
    // The replica's log ends with index 4 of term 3.
    for (const auto &row : {Row{3, 4, true}, Row{3, 3, false}, Row{2, 9, false}, Row{4, 2, true}}) {
        CAPTURE(row.lastIndex);
        auto replica = restarted({2, 3, 3});
        const auto later = Start + seconds(1);
        replica.receive(from(Other, 9, VoteRequest{.lastIndex = row.lastIndex, .lastTerm = row.lastTerm}), later);
        const auto output = replica.takeOutput(later);
        CHECK((output.persist->hardState->votedFor == Other) == row.granted);
    }
}

TEST_CASE("a message to another identity or of another group changes nothing")
{
    auto replica = restarted();
    const auto later = Start + seconds(1);
    auto toOldIdentity = from(Other, 5, LongLog);
    toOldIdentity.to = ReplicaId("r0");
    replica.receive(toOldIdentity, later);
    auto otherGroup = from(Other, 5, LongLog);
    otherGroup.groupId = "h";
    replica.receive(otherGroup, later);
    CHECK(replica.term() == 1);
    CHECK_FALSE(replica.takeOutput(later).persist);
}

/// Makes the replica leader of the next term and returns the time.
static TimePoint lead(Replica &replica)
{
    const auto now = Start + seconds(1);
    replica.tick(now);
    replica.receive(
        from(Other, replica.term(), VoteReply{.preVote = true, .granted = true, .requestTerm = replica.term() + 1}),
        now);
    replica.persisted(replica.takeOutput(now).persist->sequence, now);
    replica.receive(from(Other, replica.term(), VoteReply{.granted = true, .requestTerm = replica.term()}), now);
    REQUIRE((replica.role() == ReplicaRole::Leader));
    return now;
}

TEST_CASE("an entry of an earlier term is committed only together with one of the leader's term")
{
    auto replica = restarted({1, 1});
    const auto now = lead(replica);
    const auto output = replica.takeOutput(now);
    replica.receive(from(Other, replica.term(), AppendReply{.accepted = true, .matchedIndex = 3, .sentAt = now}), now);
    CHECK(replica.commitIndex() == 0);
    replica.persisted(output.persist->sequence, now);
    replica.receive(from(Other, replica.term(), AppendReply{.accepted = true, .matchedIndex = 4, .sentAt = now}), now);
    CHECK(replica.commitIndex() == 4);
}

TEST_CASE("the voter of a lost disk is removed before its successor becomes a voter, one change at a time")
{
    // In one step the majorities {r1, r2 old} and {r3, r2 new} would not overlap.
    auto replica = restarted();
    auto now = lead(replica);
    const ReplicaId successor("r2-new");
    replica.peerSeen("c2", successor);
    std::vector<std::size_t> voters;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(50);
        replica.tick(now);
        auto output = replica.takeOutput(now);
        if (output.persist) {
            replica.persisted(output.persist->sequence, now);
        }
        for (const auto &id : {Third, successor}) {
            replica.receive(
                from(id, replica.term(),
                     AppendReply{.accepted = true, .matchedIndex = replica.log().lastIndex(), .sentAt = now}),
                now);
        }
        if (voters.empty() || voters.back() != replica.group().voterCount()) {
            voters.push_back(replica.group().voterCount());
        }
    }
    CHECK(voters == std::vector<std::size_t>{3, 2, 3});
    CHECK(replica.group().isVoter(successor));
    CHECK(replica.group().find(Other) == nullptr);
}

TEST_CASE("the time of commands never goes back, even when the wall clock does")
{
    auto replica = restarted();
    const auto now = lead(replica);
    replica.receive(from(Other, replica.term(), AppendReply{.accepted = true, .matchedIndex = 1, .sentAt = now}), now);
    const std::chrono::system_clock::time_point late(seconds(100));
    REQUIRE(replica.propose("a", late, now).has_value());
    REQUIRE(replica.propose("b", late - seconds(50), now).has_value());
    CHECK(replica.log().at(replica.log().lastIndex())->time == late);
}

TEST_CASE("a command that fits no frame, and commands without end, are refused")
{
    auto replica = restarted();
    const auto now = lead(replica);
    replica.receive(from(Other, replica.term(), AppendReply{.accepted = true, .matchedIndex = 1, .sentAt = now}), now);
    CHECK(replica.propose(std::string(600 * 1024, 'x'), {}, now).error() == ReplicaError::CommandTooLong);
    while (replica.propose("x", {}, now).has_value()) { }
    CHECK(replica.propose("x", {}, now).error() == ReplicaError::TooManyUncommitted);
}
