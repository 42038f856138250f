#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
static const ReplicaId Self("r1");
static const ReplicaId Other("r2");
static const ReplicaId Third("r3");

static ReplicaGroup threeVoters()
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

/// A replica that has restarted with the group as the first entry of its log, followed by commands of these terms.
static Replica restartedReplica(std::vector<Term> terms = {})
{
    RecoveredState state;
    state.self = Self;
    state.hardState.term = std::max<Term>(1, terms.empty() ? 1 : terms.back());
    state.entries.push_back(std::make_shared<const LogEntry>(
        LogEntry{.index = 1, .term = 1, .kind = EntryKind::Group, .group = threeVoters()}));
    for (const auto term : terms) {
        state.entries.push_back(entry(state.entries.size() + 1, term));
    }
    ReplicaOptions options;
    options.random = [] {
        return std::uint64_t{0};
    };
    return {std::move(options), std::move(state), Start};
}

static ReplicaMessage messageFrom(const ReplicaId &sender, Term term, decltype(ReplicaMessage::body) body)
{
    return {.from = sender, .to = Self, .groupId = "g", .term = term, .body = std::move(body)};
}

template<typename T>
static std::vector<T> sentBodies(const ReplicaOutput &output)
{
    std::vector<T> found;
    for (const auto &message : output.messages) {
        if (const auto *body = std::get_if<T>(&message.body)) {
            found.push_back(*body);
        }
    }
    return found;
}

static const VoteRequest VoteRequestWithLongLog{.lastIndex = 100, .lastTerm = 100};

TEST_CASE("a vote is sent only after it is on the disk, and only to one candidate per term")
{
    auto replica = restartedReplica();
    const auto later = Start + seconds(1);
    replica.receive(messageFrom(Other, 5, VoteRequestWithLongLog), later);
    const auto first = replica.takeOutput(later);
    CHECK(sentBodies<VoteReply>(first).empty());
    REQUIRE(first.persist);
    CHECK(first.persist->hardState == HardState{.term = 5, .votedFor = Other});
    replica.receive(messageFrom(Third, 5, VoteRequestWithLongLog), later);
    replica.markPersisted(first.persist->sequence, later);
    const auto replies = sentBodies<VoteReply>(replica.takeOutput(later));
    REQUIRE(replies.size() == 2);
    CHECK(replies[0].granted);
    CHECK_FALSE(replies[1].granted);
}

TEST_CASE("entries are acknowledged only after they are on the disk")
{
    auto replica = restartedReplica();
    replica.receive(
        messageFrom(Other, 2, AppendRequest{.previousIndex = 1, .previousTerm = 1, .entries = {entry(2, 2)}}), Start);
    const auto output = replica.takeOutput(Start);
    CHECK(sentBodies<AppendReply>(output).empty());
    replica.markPersisted(output.persist->sequence, Start);
    const auto replies = sentBodies<AppendReply>(replica.takeOutput(Start));
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].accepted);
    CHECK(replies[0].matchedIndex == 2);
}

TEST_CASE("a heartbeat during a sync is answered at once but acknowledges no entry that is not on the disk")
{
    auto replica = restartedReplica();
    replica.receive(messageFrom(Other, 2, AppendRequest{.previousIndex = 1, .previousTerm = 1}), Start);
    replica.markPersisted(replica.takeOutput(Start).persist->sequence, Start);
    (void)replica.takeOutput(Start);
    replica.receive(
        messageFrom(Other, 2, AppendRequest{.previousIndex = 1, .previousTerm = 1, .entries = {entry(2, 2)}}), Start);
    (void)replica.takeOutput(Start);
    replica.receive(messageFrom(Other, 2, AppendRequest{.previousIndex = 2, .previousTerm = 2}), Start);
    const auto replies = sentBodies<AppendReply>(replica.takeOutput(Start));
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].matchedIndex == 1);
}

TEST_CASE("a restarted voter grants no vote within the minimum election timeout, except for a leadership transfer")
{
    struct Row
    {
        const char *name;
        milliseconds afterRestart;
        bool transfer;
        bool granted;
    };
    for (const auto &row : {Row{"within the election timeout", milliseconds(299), false, false},
                            Row{"after the election timeout", milliseconds(300), false, true},
                            Row{"leadership transfer", milliseconds(10), true, true}}) {
        CAPTURE(row.name);
        auto replica = restartedReplica();
        const auto now = Start + row.afterRestart;
        auto request = VoteRequestWithLongLog;
        request.transfer = row.transfer;
        replica.receive(messageFrom(Other, 5, request), now);
        const auto output = replica.takeOutput(now);
        CHECK((output.persist && output.persist->hardState->votedFor == Other) == row.granted);
        CHECK((replica.term() == 5) == row.granted);
    }
}

TEST_CASE("a vote is granted only to a candidate whose log is at least as up to date")
{
    struct Row
    {
        Term lastTerm;
        LogIndex lastIndex;
        bool granted;
    };
    // The log of the replica ends with an entry of term 3 at index 4.
    for (const auto &row : {Row{3, 4, true}, Row{3, 3, false}, Row{2, 9, false}, Row{4, 2, true}}) {
        CAPTURE(row.lastIndex);
        auto replica = restartedReplica({2, 3, 3});
        const auto later = Start + seconds(1);
        replica.receive(messageFrom(Other, 9, VoteRequest{.lastIndex = row.lastIndex, .lastTerm = row.lastTerm}),
                        later);
        const auto output = replica.takeOutput(later);
        CHECK((output.persist->hardState->votedFor == Other) == row.granted);
    }
}

TEST_CASE("a message to another identity or from another group is ignored")
{
    auto replica = restartedReplica();
    const auto later = Start + seconds(1);
    auto toOldIdentity = messageFrom(Other, 5, VoteRequestWithLongLog);
    toOldIdentity.to = ReplicaId("r0");
    replica.receive(toOldIdentity, later);
    auto otherGroup = messageFrom(Other, 5, VoteRequestWithLongLog);
    otherGroup.groupId = "h";
    replica.receive(otherGroup, later);
    CHECK(replica.term() == 1);
    CHECK_FALSE(replica.takeOutput(later).persist);
}

/// Makes the replica win an election for the next term and returns the time of the election.
static TimePoint winElection(Replica &replica)
{
    const auto now = Start + seconds(1);
    replica.tick(now);
    replica.receive(messageFrom(Other, replica.term(),
                                VoteReply{.preVote = true, .granted = true, .requestTerm = replica.term() + 1}),
                    now);
    replica.markPersisted(replica.takeOutput(now).persist->sequence, now);
    replica.receive(messageFrom(Other, replica.term(), VoteReply{.granted = true, .requestTerm = replica.term()}), now);
    REQUIRE((replica.role() == ReplicaRole::Leader));
    return now;
}

TEST_CASE("an entry of an earlier term is committed only together with one of the leader's term")
{
    auto replica = restartedReplica({1, 1});
    const auto now = winElection(replica);
    const auto output = replica.takeOutput(now);
    replica.receive(messageFrom(Other, replica.term(), AppendReply{.accepted = true, .matchedIndex = 3, .sentAt = now}),
                    now);
    CHECK(replica.commitIndex() == 0);
    replica.markPersisted(output.persist->sequence, now);
    replica.receive(messageFrom(Other, replica.term(), AppendReply{.accepted = true, .matchedIndex = 4, .sentAt = now}),
                    now);
    CHECK(replica.commitIndex() == 4);
}

TEST_CASE("the old voter of a replaced disk is removed before the new identity becomes a voter, one change at a time")
{
    // If one step replaced r2 by r2-new, {r1, r2} would be a majority before the step and {r3, r2-new} after it,
    // without an overlap.
    auto replica = restartedReplica();
    auto now = winElection(replica);
    const ReplicaId successor("r2-new");
    replica.recordPeerIdentity("c2", successor);
    std::vector<std::size_t> voters;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(50);
        replica.tick(now);
        auto output = replica.takeOutput(now);
        if (output.persist) {
            replica.markPersisted(output.persist->sequence, now);
        }
        for (const auto &id : {Third, successor}) {
            replica.receive(
                messageFrom(id, replica.term(),
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

TEST_CASE("the times of log entries do not decrease when the wall clock of the leader goes back")
{
    auto replica = restartedReplica();
    const auto now = winElection(replica);
    replica.receive(messageFrom(Other, replica.term(), AppendReply{.accepted = true, .matchedIndex = 1, .sentAt = now}),
                    now);
    const std::chrono::system_clock::time_point late(seconds(100));
    REQUIRE(replica.propose("a", late, now).has_value());
    REQUIRE(replica.propose("b", late - seconds(50), now).has_value());
    CHECK(replica.log().at(replica.log().lastIndex())->time == late);
}

TEST_CASE("commands that are too long for a frame or exceed the limit of uncommitted entries are refused")
{
    auto replica = restartedReplica();
    const auto now = winElection(replica);
    replica.receive(messageFrom(Other, replica.term(), AppendReply{.accepted = true, .matchedIndex = 1, .sentAt = now}),
                    now);
    CHECK(replica.propose(std::string(600 * 1024, 'x'), {}, now).error() == ReplicaError::CommandTooLong);
    while (replica.propose("x", {}, now).has_value()) { }
    CHECK(replica.propose("x", {}, now).error() == ReplicaError::TooManyUncommitted);
}

/// Such messages met only assertions: without them, committed entries were removed and the replica read past the end of
/// its log.
TEST_CASE("a message that contradicts committed entries is refused and the replica goes on")
{
    auto replica = restartedReplica({1, 1});
    const auto later = Start + seconds(1);
    const AppendRequest heartbeat{.previousIndex = 3, .previousTerm = 1, .commitIndex = 3};
    CHECK_FALSE(replica.receive(messageFrom(Other, 2, heartbeat), later));
    (void)replica.takeOutput(later);
    REQUIRE(replica.commitIndex() == 3);
    const AppendRequest replacing{
        .previousIndex = 1, .previousTerm = 1, .commitIndex = 3, .entries = {entry(2, 2), entry(3, 2)}};
    CHECK(replica.receive(messageFrom(Other, 3, replacing), later) == "an entry would replace a committed one");
    CHECK(replica.term() == 2);
    const AppendRequest gap{.previousIndex = 3, .previousTerm = 1, .commitIndex = 3, .entries = {entry(5, 2)}};
    CHECK(replica.receive(messageFrom(Other, 2, gap), later) == "the entries do not follow each other");
    const SnapshotChunk tooLong{.lastIndex = 9, .lastTerm = 2, .offset = 2, .totalBytes = 3, .bytes = "xyz"};
    CHECK(replica.receive(messageFrom(Other, 2, tooLong), later) == "a part of a snapshot exceeds its size");
    CHECK(replica.log().lastIndex() == 3);
    const AppendRequest next{.previousIndex = 3, .previousTerm = 1, .commitIndex = 4, .entries = {entry(4, 2)}};
    CHECK_FALSE(replica.receive(messageFrom(Other, 2, next), later));
    CHECK(replica.commitIndex() == 4);
}
