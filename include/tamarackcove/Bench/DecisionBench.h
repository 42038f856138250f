#pragma once

#include "tamarackcove/Bench/BenchFigure.h"

namespace tamarackcove {

/// The size at which the decisions are measured; the defaults are one zone at the size of docs/CAPACITY.md.
struct DecisionBenchOptions
{
    int adapters = 140000;
    int targets = 200;
    int slotsPerTarget = 16;
    int rounds = 200000;
};

/// Measures what a routing decision, a plan of the zone coordinator and an idle adapter cost.
/// Precondition: every option is positive, and the targets have fewer slots than there are adapters.
[[nodiscard]] BenchFigures runDecisionBench(const DecisionBenchOptions &options);

} // namespace tamarackcove
