#include "SimulatedGroup.h"

#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;

/// Limit for the time without a leader: two elections of the maximum election timeout, since votes may split once, with
/// a margin.
static constexpr milliseconds MaxTimeWithoutLeader{1300};

static int electLeader(SimulatedGroup &group)
{
    REQUIRE(group.runUntil([&] { return group.leader() >= 0; }, MaxTimeWithoutLeader));
    return group.leader();
}

static int anotherNode(const SimulatedGroup &group, int node)
{
    return (node + 1) % group.size();
}

static int lossesToleratedByLeader(SimulatedGroup &group)
{
    const auto leader = group.leader();
    return leader < 0 ? -1 : group.node(leader).replica->lossesTolerated(group.localNow(group.node(leader)));
}

/// A group that has a leader and has applied one command on every node.
struct Scenario
{
    explicit Scenario(SimulationOptions options = {}, std::uint64_t seed = 1)
        : group(options, seed)
    {
        group.bootstrap();
        leader = electLeader(group);
        REQUIRE(group.propose(leader));
        REQUIRE(group.runUntil([this] { return group.acknowledgedCount() == 1 && group.converged(); }, seconds(1)));
    }
    ~Scenario()
    {
        CHECK_MESSAGE(group.violation().empty(), group.violation());
    }
    Scenario(const Scenario &) = delete;
    Scenario &operator=(const Scenario &) = delete;

    SimulatedGroup group;
    int leader = -1;
};

// Guards against a group whose elections all end before their votes are on disk: each next election starts in a higher
// term, so that no leader is elected for as long as the disks are slow.
TEST_CASE("a group whose syncs take longer than an election timeout elects a leader and replaces it")
{
    // Two elections: the vote of the candidate, those of the others and the first entry of the term are synced one
    // after the other, and a sync that has begun before can delay each of them.
    constexpr seconds MaxTimeWithoutLeaderOnSlowDisks{13};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SimulationOptions options;
        options.nodes = seed % 2 == 0 ? 3 : 1;
        options.minSyncDuration = milliseconds(700);
        options.maxSyncDuration = milliseconds(1000);
        SimulatedGroup group(options, seed);
        group.bootstrap();
        REQUIRE(group.runUntil([&] { return group.leader() >= 0; }, MaxTimeWithoutLeaderOnSlowDisks));
        const auto first = group.leader();
        group.crash(first);
        if (options.nodes == 1) {
            group.restart(first);
        }
        CHECK(group.runUntil([&] { return group.leader() >= 0; }, MaxTimeWithoutLeaderOnSlowDisks));
        CHECK_MESSAGE(group.violation().empty(), group.violation());
    }
}

// Guards against a replica that starts no election for as long as an earlier stall of its disk took.
TEST_CASE("a replica whose disk stalled for a minute can be elected within seconds")
{
    SimulationOptions options;
    options.nodes = 1;
    options.minSyncDuration = seconds(60);
    options.maxSyncDuration = seconds(61);
    SimulatedGroup group(options, 1);
    group.bootstrap();
    CHECK(group.runUntil([&] { return group.leader() >= 0; }, seconds(61) * 3 + seconds(13)));
    CHECK_MESSAGE(group.violation().empty(), group.violation());
}

TEST_CASE("a killed leader is replaced within two election timeouts")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Scenario scenario({}, seed);
        scenario.group.crash(scenario.leader);
        CHECK(scenario.group.leader() == -1);
        (void)electLeader(scenario.group);
    }
}

TEST_CASE("an isolated leader loses its lease before another replica leads, and its return causes no election")
{
    Scenario scenario;
    auto &group = scenario.group;
    const auto old = scenario.leader;
    group.isolate(old);
    CHECK(group.runUntil([&] { return group.leader() != old; }, milliseconds(250)));
    CHECK_FALSE(group.propose(old));
    group.requestRead(old);
    const auto next = electLeader(group);
    group.run(seconds(3));
    const auto term = group.node(next).replica->term();
    CHECK(group.answeredReadCount() == 0);
    group.unblockAllLinks();
    group.run(seconds(2));
    CHECK(group.leader() == next);
    CHECK(group.node(next).replica->term() == term);
    CHECK((group.node(old).replica->role() == ReplicaRole::Follower));
}

TEST_CASE("a leader that resumes after a suspension beyond its lease accepts no command")
{
    Scenario scenario;
    auto &group = scenario.group;
    const auto old = scenario.leader;
    group.freeze(old, seconds(2));
    group.run(milliseconds(1999));
    const auto next = group.leader();
    CHECK(next != old);
    auto &wokenLeader = group.node(old);
    CHECK(wokenLeader.replica->propose("late", {}, group.localNow(wokenLeader)).has_error());
    CHECK_FALSE(wokenLeader.replica->leads(group.localNow(wokenLeader)));
    group.run(seconds(1));
    CHECK(group.leader() == next);
}

TEST_CASE("a follower that returns after an isolation causes no election")
{
    Scenario scenario;
    auto &group = scenario.group;
    const auto term = group.node(scenario.leader).replica->term();
    const auto lost = anotherNode(group, scenario.leader);
    group.isolate(lost);
    group.run(seconds(5));
    CHECK(group.node(lost).replica->term() == term);
    group.unblockAllLinks();
    group.run(seconds(1));
    CHECK(group.leader() == scenario.leader);
    CHECK(group.node(scenario.leader).replica->term() == term);
}

TEST_CASE("a leader that can send but not receive steps down, and another replica is elected")
{
    Scenario scenario;
    auto &group = scenario.group;
    for (int other = 0; other < group.size(); ++other) {
        group.setLinkBlocked(other, scenario.leader);
    }
    CHECK(group.runUntil([&] { return group.leader() >= 0 && group.leader() != scenario.leader; }, seconds(3)));
}

TEST_CASE("a leadership transfer ends the lease of the old leader at once and completes within 50 ms")
{
    Scenario scenario;
    auto &group = scenario.group;
    group.transfer(scenario.leader);
    CHECK_FALSE(group.propose(scenario.leader));
    CHECK(group.runUntil([&] { return group.leader() >= 0 && group.leader() != scenario.leader; }, milliseconds(50)));
}

TEST_CASE("a leader steps down if the target of a leadership transfer does not answer")
{
    Scenario scenario;
    auto &group = scenario.group;
    group.transfer(scenario.leader);
    for (int other = 0; other < group.size(); ++other) {
        if (other != scenario.leader) {
            group.freeze(other, milliseconds(700));
        }
    }
    group.run(milliseconds(650));
    CHECK((group.node(scenario.leader).replica->role() != ReplicaRole::Leader));
    (void)electLeader(group);
}

TEST_CASE("uncommitted commands of an isolated leader are replaced and never acknowledged")
{
    Scenario scenario;
    auto &group = scenario.group;
    const auto old = scenario.leader;
    group.isolate(old);
    REQUIRE(group.propose(old));
    REQUIRE(group.propose(old));
    REQUIRE(group.runUntil([&] { return group.leader() != old; }, milliseconds(250)));
    const auto next = electLeader(group);
    REQUIRE(group.propose(next));
    REQUIRE(group.runUntil([&] { return group.acknowledgedCount() == 2; }, seconds(1)));
    group.unblockAllLinks();
    CHECK(group.runUntil([&] { return group.converged(); }, seconds(2)));
    CHECK(group.acknowledgedCount() == 2);
}

TEST_CASE("a replica with a new disk joins as a learner, becomes a voter once caught up, and its old id is removed")
{
    SimulationOptions options;
    options.snapshotEvery = 5;
    options.trailingEntries = 2;
    Scenario scenario(options);
    auto &group = scenario.group;
    for (int i = 0; i < 30; ++i) {
        REQUIRE(group.propose(scenario.leader));
        group.run(milliseconds(10));
    }
    CHECK(group.runUntil([&] { return lossesToleratedByLeader(group) == 1; }, seconds(1)));
    const auto lost = anotherNode(group, scenario.leader);
    const auto oldId = group.node(lost).disk.self;
    group.replaceDisk(lost);
    group.run(milliseconds(700));
    CHECK(lossesToleratedByLeader(group) == 0);
    CHECK((group.node(lost).replica->role() == ReplicaRole::Learner));
    CHECK(group.runUntil([&] { return lossesToleratedByLeader(group) == 1; }, seconds(5)));
    const auto &members = group.node(scenario.leader).replica->group();
    CHECK(members.find(oldId) == nullptr);
    CHECK(members.isVoter(group.node(lost).disk.self));
    CHECK(group.runUntil([&] { return group.converged(); }, seconds(1)));

    // lossesTolerated() is 1 again, so the group must survive a second loss right after the repair.
    group.crash(scenario.leader);
    const auto next = electLeader(group);
    CHECK(group.propose(next));
    CHECK(group.runUntil([&] { return group.acknowledgedCount() == 32; }, seconds(2)));
}

TEST_CASE("after two of three disks are lost, the last replica accepts no command and reports no majority")
{
    Scenario scenario;
    auto &group = scenario.group;
    group.replaceDisk((scenario.leader + 1) % 3);
    group.replaceDisk((scenario.leader + 2) % 3);
    group.run(seconds(5));
    CHECK(group.leader() == -1);
    for (int node = 0; node < 3; ++node) {
        auto &each = group.node(node);
        CHECK(each.replica->lossesTolerated(group.localNow(each)) < 0);
        CHECK_FALSE(group.propose(node));
    }
}

TEST_CASE("a replica that is not caught up reduces the number of tolerated losses")
{
    Scenario scenario({.nodes = 5});
    auto &group = scenario.group;
    CHECK(group.runUntil([&] { return lossesToleratedByLeader(group) == 2; }, seconds(1)));
    // The messages of this replica reach the leader, but those of the leader do not reach it.
    const auto slow = anotherNode(group, scenario.leader);
    group.setLinkBlocked(scenario.leader, slow);
    group.run(milliseconds(700));
    CHECK(lossesToleratedByLeader(group) == 1);
}

TEST_CASE("slow syncs on every disk cause no election")
{
    SimulationOptions options;
    options.maxSyncDuration = milliseconds(1500);
    SimulatedGroup group(options, 7);
    group.bootstrap();
    REQUIRE(group.runUntil([&] { return group.leader() >= 0; }, seconds(60)));
    const auto leader = group.leader();
    const auto term = group.node(leader).replica->term();
    for (int i = 0; i < 100; ++i) {
        (void)group.propose(leader);
        group.run(milliseconds(50));
    }
    CHECK(group.node(leader).replica->term() == term);
    CHECK(group.acknowledgedCount() > 20);
    CHECK(group.violation().empty());
}
