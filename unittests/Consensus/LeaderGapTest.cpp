#include "SimulatedGroup.h"

#include <algorithm>
#include <cstdio>
#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;

/// Virtual time from the loss of the leader until another replica leads, for seeds 1 to 1000, sorted.
static std::vector<milliseconds> timesWithoutLeader(const std::function<void(SimulatedGroup &, int)> &removeLeader)
{
    std::vector<milliseconds> times;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        SimulatedGroup group({}, seed);
        group.bootstrap();
        REQUIRE(group.runUntil([&] { return group.leader() >= 0; }, seconds(5)));
        group.run(milliseconds(500 + group.random(200)));
        const auto leader = group.leader();
        REQUIRE(leader >= 0);
        const auto lost = group.now();
        removeLeader(group, leader);
        REQUIRE(group.runUntil([&] { return group.leader() >= 0 && group.leader() != leader; }, seconds(10)));
        times.push_back(duration_cast<milliseconds>(group.now() - lost));
    }
    std::sort(times.begin(), times.end());
    return times;
}

static void print(const char *name, const std::vector<milliseconds> &times)
{
    std::printf("%s, seeds 1 to 1000: median %lld ms, p99 %lld ms, maximum %lld ms\n", name,
                static_cast<long long>(times[500].count()), static_cast<long long>(times[990].count()),
                static_cast<long long>(times.back().count()));
}

TEST_CASE("after a kill or isolation of the leader, another replica leads within a few election timeouts")
{
    // Guards against elections that start late or repeatedly split the vote.
    const auto timesAfterCrash = timesWithoutLeader([](SimulatedGroup &group, int leader) { group.crash(leader); });
    const auto afterIsolation = timesWithoutLeader([](SimulatedGroup &group, int leader) { group.isolate(leader); });
    print("no leader after a kill", timesAfterCrash);
    print("no leader after an isolation", afterIsolation);
    CHECK(timesAfterCrash[990] < milliseconds(1300));
    CHECK(afterIsolation[990] < milliseconds(1300));
}
