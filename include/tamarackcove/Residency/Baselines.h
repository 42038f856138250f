#pragma once

#include "tamarackcove/Residency/ResidencyPlanner.h"

namespace tamarackcove {

/// Baseline that the default policy is compared with: first come, first served adapter loads onto the target with the
/// lowest request load, no additional copies, least recently used eviction.
[[nodiscard]] ResidencyPlanner::Options leastLoadedWithLru(ResidencyPlanner::Options base);
/// The same baseline with least frequently used eviction.
[[nodiscard]] ResidencyPlanner::Options leastLoadedWithLfu(ResidencyPlanner::Options base);

} // namespace tamarackcove
