#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Residency/LoadDemand.h"
#include "tamarackcove/Residency/ResidencyAction.h"

#include <functional>
#include <vector>

namespace tamarackcove {

class ZoneView;

/// Input of one planning round.
struct PlanInput
{
    const ZoneView &view;
    TimePoint now;
    /// Number of adapter loads that the zone's permit for the weight store allows to start now. The coordinator drops
    /// planned loads beyond this number; the planner may plan them again in a later round.
    int loadsAllowed = 0;
    /// Whether the adapter may be loaded on the target now: false during the backoff after a failed load of the adapter
    /// on this target, and while the target does not accept orders yet.
    std::function<bool(const TargetId &target, const AdapterRef &adapter)> mayLoad;
};

/// Interface of a residency planner to the zone coordinator. A planner instance serves one term of one coordinator.
///
/// Thread safety: called on the thread of the process.
struct PlannerHooks
{
    /// Records the demand for an adapter that the entry `from` reports; see ResidencyPlanner::noteDemand().
    std::function<void(const EntryId &from, const LoadDemand &demand, TimePoint now)> noteDemand;
    /// Returns the adapter loads and retirements to start now.
    std::function<std::vector<ResidencyAction>(const PlanInput &input)> plan;
};

} // namespace tamarackcove
