#include "SimulatedGroup.h"

#include <cstdio>
#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;

#if defined(__SANITIZE_ADDRESS__)
// A schedule takes more than ten times as long with the sanitizers.
static constexpr std::uint64_t Schedules = 500;
#else
static constexpr std::uint64_t Schedules = 10000;
#endif
static constexpr std::uint64_t FirstSeed = 20260000;

/// Totals over all schedules, so that the test fails if the schedules stop exercising the group.
struct Coverage
{
    std::size_t acknowledgedCount = 0;
    std::size_t reads = 0;
    std::size_t wipedDisks = 0;
    std::size_t terms = 0;
};

static void blockRandomLinks(SimulatedGroup &group)
{
    const auto one = static_cast<int>(group.random(static_cast<std::uint64_t>(group.size())));
    const auto other = static_cast<int>(group.random(static_cast<std::uint64_t>(group.size())));
    switch (group.random(3)) {
    case 0:
        group.isolate(one);
        return;
    case 1:
        group.setLinkBlocked(one, other);
        return;
    default:
        group.setLinkBlocked(one, other);
        group.setLinkBlocked(other, one);
        return;
    }
}

/// Replaces a disk by an empty one only if the leader reports that the group tolerates a loss; the checks of the
/// simulation then verify that no acknowledged command is lost. Returns whether a disk was replaced.
static bool wipeIfTolerated(SimulatedGroup &group, TimePoint &lastWipeAt)
{
    const auto leader = group.leader();
    if (leader < 0 || group.now() < lastWipeAt + seconds(1)) {
        return false;
    }
    auto &node = group.node(leader);
    if (node.replica->lossesTolerated(group.localNow(node)) < 1) {
        return false;
    }
    lastWipeAt = group.now();
    group.replaceDisk(static_cast<int>(group.random(static_cast<std::uint64_t>(group.size()))));
    return true;
}

static void injectRandomFault(SimulatedGroup &group, TimePoint &lastWipeAt, Coverage &coverage)
{
    const auto victim = static_cast<int>(group.random(static_cast<std::uint64_t>(group.size())));
    switch (group.random(10)) {
    case 0:
        group.crash(victim);
        return;
    case 1:
    case 2:
        group.restart(victim);
        return;
    case 3:
        group.freeze(victim, milliseconds(group.random(1200)));
        return;
    case 4:
        blockRandomLinks(group);
        return;
    case 5:
    case 6:
        group.unblockAllLinks();
        return;
    case 7:
        group.transfer(victim);
        return;
    default:
        coverage.wipedDisks += wipeIfTolerated(group, lastWipeAt) ? 1 : 0;
        return;
    }
}

/// Whether, after the faults have ended, a new command is applied on every node and every lost disk is replaced by a
/// voter.
static bool recovers(SimulatedGroup &group)
{
    const auto indexBefore = group.highestCommittedIndex();
    const auto fullyReplicated = [&] {
        const auto leader = group.leader();
        return leader >= 0 && group.highestCommittedIndex() > indexBefore && group.converged()
            && group.node(leader).replica->lossesTolerated(group.localNow(group.node(leader)))
            == (group.size() - 1) / 2;
    };
    for (int round = 0; round < 60; ++round) {
        if (const auto leader = group.leader(); leader >= 0) {
            (void)group.propose(leader);
        }
        if (group.runUntil(fullyReplicated, milliseconds(500))) {
            return true;
        }
    }
    return false;
}

static std::string runSchedule(std::uint64_t seed, Coverage &coverage, std::size_t maxVoters = 0)
{
    SimulationOptions options;
    options.maxVoters = maxVoters;
    // One node more than voters, so that there is a learner to replace a lost voter.
    options.nodes = maxVoters > 0 ? static_cast<int>(maxVoters) + 1 : seed % 4 == 0 ? 5 : 3;
    options.dropProbability = seed % 3 == 0 ? 0.1 : 0.01;
    options.duplicateProbability = 0.05;
    options.maxNetworkDelay = seed % 5 == 0 ? milliseconds(150) : milliseconds(15);
    options.maxSyncDuration = seed % 7 == 0 ? milliseconds(200) : milliseconds(5);
    options.clockDrift = 0.05;
    options.snapshotEvery = 10;
    options.trailingEntries = 4;
    SimulatedGroup group(options, seed);
    group.bootstrap();
    group.run(milliseconds(200 + group.random(700)));
    auto lastWipeAt = group.now();
    for (int step = 0; step < 50 && group.violation().empty(); ++step) {
        for (int node = 0; node < group.size(); ++node) {
            (void)group.propose(node);
            group.requestRead(node);
        }
        if (group.chance(0.5)) {
            injectRandomFault(group, lastWipeAt, coverage);
        }
        group.run(milliseconds(group.random(150)));
    }
    group.unblockAllLinks();
    for (int node = 0; node < group.size(); ++node) {
        group.restart(node);
    }
    const bool recovered = recovers(group);
    coverage.acknowledgedCount += group.acknowledgedCount();
    coverage.reads += group.answeredReadCount();
    for (int node = 0; node < group.size(); ++node) {
        coverage.terms += group.node(node).replica ? group.node(node).replica->term() : 0;
    }
    if (!group.violation().empty()) {
        return group.violation();
    }
    return recovered ? "" : "the group did not recover after all faults had ended";
}

TEST_CASE("the log stays consistent under random faults, and the group recovers after they end")
{
    std::printf("random schedules: seeds %llu to %llu\n", static_cast<unsigned long long>(FirstSeed),
                static_cast<unsigned long long>(FirstSeed + Schedules - 1));
    Coverage coverage;
    int failures = 0;
    for (auto seed = FirstSeed; seed < FirstSeed + Schedules && failures < 5; ++seed) {
        const auto failure = runSchedule(seed, coverage);
        CHECK_MESSAGE(failure.empty(), "seed ", seed, ": ", failure);
        failures += failure.empty() ? 0 : 1;
    }
    std::printf("random schedules: %zu commands acknowledged, %zu reads, %zu disks lost, %zu terms\n",
                coverage.acknowledgedCount, coverage.reads, coverage.wipedDisks, coverage.terms);
    CHECK(coverage.acknowledgedCount > Schedules);
    CHECK(coverage.reads > Schedules);
    CHECK(coverage.wipedDisks > Schedules / 20);
}

TEST_CASE("under random faults learners replace lost voters without the loss of an acknowledged entry")
{
    Coverage coverage;
    for (std::uint64_t seed = FirstSeed; seed < FirstSeed + Schedules / 5; ++seed) {
        const auto violation = runSchedule(seed, coverage, seed % 3 == 0 ? 5 : 3);
        CAPTURE(seed);
        REQUIRE(violation == "");
    }
    CHECK(coverage.wipedDisks > 0);
}

/// Runs the group while commands are proposed to its leader.
static void runWithCommands(SimulatedGroup &group, milliseconds duration)
{
    constexpr milliseconds Interval{20};
    for (const auto end = group.now() + duration; group.now() < end;) {
        if (const auto leader = group.leader(); leader >= 0) {
            (void)group.propose(leader);
        }
        group.run(Interval);
    }
}

/// One node misses commands while it is cut off, another loses its disk, and the others are down until after the cut
/// has ended; then nodes are suspended together. Returns the violation, or that the group did not recover.
static std::string runCutAndReturn(std::uint64_t seed)
{
    SimulationOptions options;
    options.nodes = 4;
    options.maxVoters = 3;
    options.dropProbability = 0.01;
    options.duplicateProbability = 0.05;
    options.maxNetworkDelay = seed % 5 == 0 ? milliseconds(150) : milliseconds(15);
    options.maxSyncDuration = seed % 7 == 0 ? milliseconds(200) : milliseconds(5);
    options.clockDrift = 0.05;
    options.snapshotEvery = 10;
    options.trailingEntries = 4;
    SimulatedGroup group(options, seed);
    group.bootstrap();
    // All nodes start as voters. A node that is cut off for long enough is demoted as the surplus voter.
    runWithCommands(group, milliseconds(500 + group.random(2500)));
    const auto first = static_cast<int>(group.random(4));
    const auto nodeAfter = [first](int distance) {
        return (first + distance) % 4;
    };
    group.isolate(first);
    runWithCommands(group, milliseconds(group.random(5000)));
    group.replaceDisk(nodeAfter(1));
    runWithCommands(group, milliseconds(group.random(300)));
    group.crash(nodeAfter(2));
    group.crash(nodeAfter(3));
    group.unblockAllLinks();
    runWithCommands(group, milliseconds(group.random(3000)));
    group.restart(nodeAfter(2));
    group.restart(nodeAfter(3));
    runWithCommands(group, milliseconds(group.random(2000)));
    for (int round = 0; round < 3; ++round) {
        const milliseconds suspension(group.random(4000));
        group.freeze(nodeAfter(static_cast<int>(group.random(4))), suspension);
        group.freeze(nodeAfter(static_cast<int>(group.random(4))), suspension);
        runWithCommands(group, milliseconds(group.random(4500)));
    }
    const bool recovered = recovers(group);
    if (!group.violation().empty()) {
        return group.violation();
    }
    return recovered ? "" : "the group did not recover after all faults had ended";
}

/// Guards against a replica that fails on a message after it was cut off or suspended while the members changed.
TEST_CASE("the log stays consistent when a node is cut off, another loses its disk and others return and are suspended")
{
    int failures = 0;
    for (auto seed = FirstSeed; seed < FirstSeed + Schedules / 5 && failures < 5; ++seed) {
        const auto failure = runCutAndReturn(seed);
        CHECK_MESSAGE(failure.empty(), "seed ", seed, ": ", failure);
        failures += failure.empty() ? 0 : 1;
    }
}

TEST_CASE("a voter that is silent beyond the replacement timeout is replaced and rejoins as a learner")
{
    SimulationOptions options;
    options.nodes = 4;
    options.maxVoters = 3;
    SimulatedGroup group(options, FirstSeed);
    group.bootstrap();
    const auto isVoter = [&](int node) {
        const auto leader = group.leader();
        return leader >= 0 && group.node(leader).replica->group().isVoter(group.node(node).disk.self);
    };
    const auto voters = [&] {
        int count = 0;
        for (int node = 0; node < group.size(); ++node) {
            count += isVoter(node) ? 1 : 0;
        }
        return count;
    };
    REQUIRE(group.runUntil([&] { return group.leader() >= 0; }, seconds(5)));
    int lost = 0;
    while (lost == group.leader() || !isVoter(lost)) {
        ++lost;
    }
    group.isolate(lost);
    CHECK(group.runUntil([&] { return voters() == 3 && !isVoter(lost); }, seconds(5)));
    group.unblockAllLinks();
    group.run(seconds(3));
    CHECK(voters() == 3);
    CHECK_FALSE(isVoter(lost));
    CHECK(group.violation() == "");
}
