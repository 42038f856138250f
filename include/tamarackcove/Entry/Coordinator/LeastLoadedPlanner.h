#pragma once

#include "tamarackcove/Residency/PlannerHooks.h"

namespace tamarackcove {

/// The planner that is used when no other is given: an adapter that requests wait for is loaded on the least loaded
/// target with a free slot; when there is none, the least recently used adapter that nothing waits for is evicted.
/// It considers one copy of each adapter only.
[[nodiscard]] PlannerHooks makeLeastLoadedPlanner();

} // namespace tamarackcove
