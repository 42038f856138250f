#pragma once

#include "tamarackcove/Residency/ResidencyPlanner.h"

namespace tamarackcove {

/// A policy with the plain choices that the default is compared with: loads in order of arrival, onto the emptiest
/// target, nothing loaded ahead, least recently used evicted.
[[nodiscard]] ResidencyPlanner::Options leastLoadedWithLru(ResidencyPlanner::Options base);
/// The same with the least frequently used adapter evicted.
[[nodiscard]] ResidencyPlanner::Options leastLoadedWithLfu(ResidencyPlanner::Options base);

} // namespace tamarackcove
