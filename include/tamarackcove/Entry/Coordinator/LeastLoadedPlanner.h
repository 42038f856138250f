#pragma once

#include "tamarackcove/Residency/PlannerHooks.h"

namespace tamarackcove {

/// The planner that is used when ZoneHooks::makePlanner is not set. It loads an adapter that requests wait for on the
/// least loaded target with a free slot; without a free slot, it evicts the least recently used adapter that no request
/// waits for. It keeps one copy of each adapter and never adds copies of popular adapters.
[[nodiscard]] PlannerHooks makeLeastLoadedPlanner();

} // namespace tamarackcove
