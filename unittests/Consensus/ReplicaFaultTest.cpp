#include "SimulatedGroup.h"

#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;

/// Longest time without a leader: the maximum election timeout, and a second round when votes are split.
static constexpr milliseconds LeaderGap{1300};

static int electLeader(SimulatedGroup &group)
{
    REQUIRE(group.runUntil([&] { return group.leader() >= 0; }, LeaderGap));
    return group.leader();
}

static int otherThan(const SimulatedGroup &group, int node)
{
    return (node + 1) % group.size();
}

static int tolerated(SimulatedGroup &group)
{
    const auto leader = group.leader();
    return leader < 0 ? -1 : group.node(leader).replica->lossesTolerated(group.localNow(group.node(leader)));
}

struct Scenario
{
    explicit Scenario(SimulationOptions options = {}, std::uint64_t seed = 1)
        : group(options, seed)
    {
        group.bootstrap();
        leader = electLeader(group);
        REQUIRE(group.propose(leader));
        REQUIRE(group.runUntil([this] { return group.acknowledged() == 1 && group.converged(); }, seconds(1)));
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

TEST_CASE("a killed leader is replaced within two election timeouts")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Scenario scenario({}, seed);
        scenario.group.crash(scenario.leader);
        CHECK(scenario.group.leader() == -1);
        (void)electLeader(scenario.group);
    }
}

TEST_CASE("an isolated leader stops deciding within its lease, before another can lead, and its return ends no term")
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
    CHECK(group.readsAnswered() == 0);
    group.heal();
    group.run(seconds(2));
    CHECK(group.leader() == next);
    CHECK(group.node(next).replica->term() == term);
    CHECK((group.node(old).replica->role() == ReplicaRole::Follower));
}

TEST_CASE("a frozen leader decides nothing when it wakes up, whatever it does first")
{
    Scenario scenario;
    auto &group = scenario.group;
    const auto old = scenario.leader;
    group.freeze(old, seconds(2));
    group.run(milliseconds(1999));
    const auto next = group.leader();
    CHECK(next != old);
    auto &woken = group.node(old);
    CHECK(woken.replica->propose("late", {}, group.localNow(woken)).has_error());
    CHECK_FALSE(woken.replica->leads(group.localNow(woken)));
    group.run(seconds(1));
    CHECK(group.leader() == next);
}

TEST_CASE("a follower that was cut off comes back without an election")
{
    Scenario scenario;
    auto &group = scenario.group;
    const auto term = group.node(scenario.leader).replica->term();
    const auto lost = otherThan(group, scenario.leader);
    group.isolate(lost);
    group.run(seconds(5));
    CHECK(group.node(lost).replica->term() == term);
    group.heal();
    group.run(seconds(1));
    CHECK(group.leader() == scenario.leader);
    CHECK(group.node(scenario.leader).replica->term() == term);
}

TEST_CASE("a leader that is heard but hears nothing gives up, so that the others can elect")
{
    Scenario scenario;
    auto &group = scenario.group;
    for (int other = 0; other < group.size(); ++other) {
        group.cut(other, scenario.leader);
    }
    CHECK(group.runUntil([&] { return group.leader() >= 0 && group.leader() != scenario.leader; }, seconds(3)));
}

TEST_CASE("leadership moves on request within a round trip, and the old leader's lease ends first")
{
    Scenario scenario;
    auto &group = scenario.group;
    group.transfer(scenario.leader);
    CHECK_FALSE(group.propose(scenario.leader));
    CHECK(group.runUntil([&] { return group.leader() >= 0 && group.leader() != scenario.leader; }, milliseconds(50)));
}

TEST_CASE("a transfer to a peer that is lost at that moment ends the term instead of deciding on")
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

TEST_CASE("commands of an isolated leader that were not committed are replaced, and none is acknowledged")
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
    REQUIRE(group.runUntil([&] { return group.acknowledged() == 2; }, seconds(1)));
    group.heal();
    CHECK(group.runUntil([&] { return group.converged(); }, seconds(2)));
    CHECK(group.acknowledged() == 2);
}

TEST_CASE("a lost disk joins under a new identity: learner first, voter once caught up, the old identity gone")
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
    CHECK(group.runUntil([&] { return tolerated(group) == 1; }, seconds(1)));
    const auto lost = otherThan(group, scenario.leader);
    const auto oldId = group.node(lost).disk.self;
    group.wipe(lost);
    group.run(milliseconds(700));
    CHECK(tolerated(group) == 0);
    CHECK((group.node(lost).replica->role() == ReplicaRole::Learner));
    CHECK(group.runUntil([&] { return tolerated(group) == 1; }, seconds(5)));
    const auto &members = group.node(scenario.leader).replica->group();
    CHECK(members.find(oldId) == nullptr);
    CHECK(members.isVoter(group.node(lost).disk.self));
    CHECK(group.runUntil([&] { return group.converged(); }, seconds(1)));

    // A second loss right after the repair must be tolerated as the status says.
    group.crash(scenario.leader);
    const auto next = electLeader(group);
    CHECK(group.propose(next));
    CHECK(group.runUntil([&] { return group.acknowledged() == 32; }, seconds(2)));
}

TEST_CASE("two lost disks of three stop the group: the last replica neither decides nor claims to tolerate losses")
{
    Scenario scenario;
    auto &group = scenario.group;
    group.wipe((scenario.leader + 1) % 3);
    group.wipe((scenario.leader + 2) % 3);
    group.run(seconds(5));
    CHECK(group.leader() == -1);
    for (int node = 0; node < 3; ++node) {
        auto &each = group.node(node);
        CHECK(each.replica->lossesTolerated(group.localNow(each)) < 0);
        CHECK_FALSE(group.propose(node));
    }
}

TEST_CASE("a replica that cannot keep up does not count as a loss that is tolerated")
{
    Scenario scenario({.nodes = 5});
    auto &group = scenario.group;
    CHECK(group.runUntil([&] { return tolerated(group) == 2; }, seconds(1)));
    // Its answers arrive, what it is sent does not.
    const auto slow = otherThan(group, scenario.leader);
    group.cut(scenario.leader, slow);
    group.run(milliseconds(700));
    CHECK(tolerated(group) == 1);
}

TEST_CASE("slow syncs on every disk cost no election")
{
    SimulationOptions options;
    options.maxSync = milliseconds(1500);
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
    CHECK(group.acknowledged() > 20);
    CHECK(group.violation().empty());
}
