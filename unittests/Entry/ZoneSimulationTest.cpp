#include "ZoneSimulation.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

/// Runs one simulation for each of several consecutive seeds. Guards against two coordinators that send orders at the
/// same time, fencing numbers that do not increase, and the eviction of an adapter that a running request uses.
static void runSchedules(bool engineChecksFencing, std::uint64_t firstSeed, int schedules)
{
    int terms = 0;
    int unloads = 0;
    int dispatches = 0;
    int restarts = 0;
    for (int i = 0; i < schedules; ++i) {
        ZoneSimulation::Options options;
        options.seed = firstSeed + static_cast<std::uint64_t>(i);
        options.entries = 1 + i % 5;
        options.engineChecksFencing = engineChecksFencing;
        ZoneSimulation simulation(options);
        simulation.run();
        INFO("seed " << options.seed << " entries " << options.entries << " refuses " << engineChecksFencing);
        REQUIRE(simulation.violation == "");
        terms += simulation.terms;
        unloads += simulation.unloads;
        dispatches += simulation.dispatches;
        restarts += simulation.restarts;
    }
    MESSAGE("seeds " << firstSeed << " to " << firstSeed + static_cast<std::uint64_t>(schedules) - 1 << ": terms "
                     << terms << ", unloads " << unloads << ", dispatches " << dispatches << ", restarts " << restarts);
    // Guards against simulations in which the operations whose invariants they check never happen.
    CHECK(terms > schedules);
    CHECK(unloads > schedules);
    CHECK(dispatches > schedules);
}

TEST_CASE("one coordinator acts at a time and no adapter in use is evicted, on engines that ignore fencing numbers")
{
    runSchedules(false, 1000, 1000);
}

TEST_CASE("one coordinator acts at a time and no adapter in use is evicted, on engines that refuse old fencing numbers")
{
    runSchedules(true, 5000, 1000);
}
