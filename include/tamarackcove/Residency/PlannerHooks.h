#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Residency/LoadDemand.h"
#include "tamarackcove/Residency/ResidencyAction.h"

#include <functional>
#include <vector>

namespace tamarackcove {

class ZoneView;

/// What a planner may use for one decision.
struct PlanInput
{
    const ZoneView &view;
    TimePoint now;
    /// Loads that the store permit allows to start now; surplus loads are dropped and may be planned again.
    int loadsAllowed = 0;
    /// False while the pair backs off after a failed load, or the target takes no orders yet.
    std::function<bool(const TargetId &target, const AdapterRef &adapter)> mayLoad;
};

/// How the zone coordinator learns what to load and evict. A planner belongs to one term of the coordinator.
///
/// Thread safety: called on the thread of the process.
struct PlannerHooks
{
    std::function<void(const EntryId &from, const LoadDemand &demand, TimePoint now)> noteDemand;
    std::function<std::vector<ResidencyAction>(const PlanInput &input)> plan;
};

} // namespace tamarackcove
