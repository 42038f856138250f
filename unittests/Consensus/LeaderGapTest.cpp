#include "SimulatedGroup.h"

#include <algorithm>
#include <cstdio>
#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;

/// Times in virtual time from the loss of the leader until another one leads, over this many seeds.
static std::vector<milliseconds> leaderGaps(const std::function<void(SimulatedGroup &, int)> &lose)
{
    std::vector<milliseconds> gaps;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        SimulatedGroup group({}, seed);
        group.bootstrap();
        REQUIRE(group.runUntil([&] { return group.leader() >= 0; }, seconds(5)));
        group.run(milliseconds(500 + group.random(200)));
        const auto leader = group.leader();
        REQUIRE(leader >= 0);
        const auto lost = group.now();
        lose(group, leader);
        REQUIRE(group.runUntil([&] { return group.leader() >= 0 && group.leader() != leader; }, seconds(10)));
        gaps.push_back(duration_cast<milliseconds>(group.now() - lost));
    }
    std::sort(gaps.begin(), gaps.end());
    return gaps;
}

static void print(const char *name, const std::vector<milliseconds> &gaps)
{
    std::printf("%s, seeds 1 to 1000: median %lld ms, p99 %lld ms, maximum %lld ms\n", name,
                static_cast<long long>(gaps[500].count()), static_cast<long long>(gaps[990].count()),
                static_cast<long long>(gaps.back().count()));
}

TEST_CASE("the time without a leader stays within a few election timeouts")
{
    // Guards against elections that start late or are split again and again.
    const auto killed = leaderGaps([](SimulatedGroup &group, int leader) { group.crash(leader); });
    const auto isolated = leaderGaps([](SimulatedGroup &group, int leader) { group.isolate(leader); });
    print("no leader after a kill", killed);
    print("no leader after an isolation", isolated);
    CHECK(killed[990] < milliseconds(1300));
    CHECK(isolated[990] < milliseconds(1300));
}
