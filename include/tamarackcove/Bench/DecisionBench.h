#pragma once

#include "tamarackcove/Bench/BenchFigure.h"

namespace tamarackcove {

/// Size of the measured zone. The defaults are one zone of the size in docs/CAPACITY.md.
struct DecisionBenchOptions
{
    int adapters = 140000;
    int targets = 200;
    int slotsPerTarget = 16;
    /// Measured routing decisions; every 2000 of them add one measured plan.
    int rounds = 200000;
};

/// Measures the CPU time of a routing decision and of a plan of the zone coordinator, and the memory of an idle
/// adapter. Precondition: every option is positive, and the targets have fewer slots than there are adapters.
[[nodiscard]] BenchFigures runDecisionBench(const DecisionBenchOptions &options);

} // namespace tamarackcove
