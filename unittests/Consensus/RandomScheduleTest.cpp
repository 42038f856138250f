#include "SimulatedGroup.h"

#include <cstdio>
#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;

#if defined(__SANITIZE_ADDRESS__)
// The sanitizers slow a schedule down more than tenfold.
static constexpr std::uint64_t Schedules = 500;
#else
static constexpr std::uint64_t Schedules = 10000;
#endif
static constexpr std::uint64_t FirstSeed = 20260000;

/// What one run has exercised, so that the test notices when the faults stop having effect.
struct Coverage
{
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t wipes = 0;
    std::size_t elections = 0;
};

static void cutOff(SimulatedGroup &group)
{
    const auto one = static_cast<int>(group.random(static_cast<std::uint64_t>(group.size())));
    const auto other = static_cast<int>(group.random(static_cast<std::uint64_t>(group.size())));
    switch (group.random(3)) {
    case 0:
        group.isolate(one);
        return;
    case 1:
        group.cut(one, other);
        return;
    default:
        group.cut(one, other);
        group.cut(other, one);
        return;
    }
}

/// Removes a disk only when the leader says that this loses nothing, which the later checks verify.
static bool wipeIfTolerated(SimulatedGroup &group, TimePoint &lastLoss)
{
    const auto leader = group.leader();
    if (leader < 0 || group.now() < lastLoss + seconds(1)) {
        return false;
    }
    auto &node = group.node(leader);
    if (node.replica->lossesTolerated(group.localNow(node)) < 1) {
        return false;
    }
    lastLoss = group.now();
    group.wipe(static_cast<int>(group.random(static_cast<std::uint64_t>(group.size()))));
    return true;
}

static void disturb(SimulatedGroup &group, TimePoint &lastLoss, Coverage &coverage)
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
        cutOff(group);
        return;
    case 5:
    case 6:
        group.heal();
        return;
    case 7:
        group.transfer(victim);
        return;
    default:
        coverage.wipes += wipeIfTolerated(group, lastLoss) ? 1 : 0;
        return;
    }
}

/// Whether a new command is applied everywhere, and every lost disk is replaced by a voter, once the faults have ended.
static bool recovers(SimulatedGroup &group)
{
    const auto before = group.highestDecided();
    const auto whole = [&] {
        const auto leader = group.leader();
        return leader >= 0 && group.highestDecided() > before && group.converged()
            && group.node(leader).replica->lossesTolerated(group.localNow(group.node(leader)))
            == (group.size() - 1) / 2;
    };
    for (int round = 0; round < 60; ++round) {
        if (const auto leader = group.leader(); leader >= 0) {
            (void)group.propose(leader);
        }
        if (group.runUntil(whole, milliseconds(500))) {
            return true;
        }
    }
    return false;
}

static std::string runSchedule(std::uint64_t seed, Coverage &coverage, std::size_t maxVoters = 0)
{
    SimulationOptions options;
    options.maxVoters = maxVoters;
    // With a limit there is one node more than voters.
    options.nodes = maxVoters > 0 ? static_cast<int>(maxVoters) + 1 : seed % 4 == 0 ? 5 : 3;
    options.dropRate = seed % 3 == 0 ? 0.1 : 0.01;
    options.duplicateRate = 0.05;
    options.maxDelay = seed % 5 == 0 ? milliseconds(150) : milliseconds(15);
    options.maxSync = seed % 7 == 0 ? milliseconds(200) : milliseconds(5);
    options.clockDrift = 0.05;
    options.snapshotEvery = 10;
    options.trailingEntries = 4;
    SimulatedGroup group(options, seed);
    group.bootstrap();
    group.run(milliseconds(200 + group.random(700)));
    auto lastLoss = group.now();
    for (int step = 0; step < 50 && group.violation().empty(); ++step) {
        for (int node = 0; node < group.size(); ++node) {
            (void)group.propose(node);
            group.requestRead(node);
        }
        if (group.chance(0.5)) {
            disturb(group, lastLoss, coverage);
        }
        group.run(milliseconds(group.random(150)));
    }
    group.heal();
    for (int node = 0; node < group.size(); ++node) {
        group.restart(node);
    }
    const bool recovered = recovers(group);
    coverage.acknowledged += group.acknowledged();
    coverage.reads += group.readsAnswered();
    for (int node = 0; node < group.size(); ++node) {
        coverage.elections += group.node(node).replica ? group.node(node).replica->term() : 0;
    }
    if (!group.violation().empty()) {
        return group.violation();
    }
    return recovered ? "" : "the group did not recover after all faults had ended";
}

TEST_CASE("no schedule of faults breaks a promise of the log, and the group recovers from each")
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
                coverage.acknowledged, coverage.reads, coverage.wipes, coverage.elections);
    CHECK(coverage.acknowledged > Schedules);
    CHECK(coverage.reads > Schedules);
    CHECK(coverage.wipes > Schedules / 20);
}

TEST_CASE("a learner takes the place of a voter that is gone, and no acknowledged entry is lost by it")
{
    Coverage coverage;
    for (std::uint64_t seed = FirstSeed; seed < FirstSeed + Schedules / 5; ++seed) {
        const auto violation = runSchedule(seed, coverage, seed % 3 == 0 ? 5 : 3);
        CAPTURE(seed);
        REQUIRE(violation == "");
    }
    CHECK(coverage.wipes > 0);
}

TEST_CASE("a voter that is silent for long makes way for a learner and comes back as one")
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
    group.heal();
    group.run(seconds(3));
    CHECK(voters() == 3);
    CHECK_FALSE(isVoter(lost));
    CHECK(group.violation() == "");
}
