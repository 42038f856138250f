#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Residency/LoadDemand.h"

#include <functional>
#include <vector>

namespace tamarackcove {

class ZoneView;

/// How the request path of an entry sees and reaches its zone and the others.
///
/// Thread safety: called on the thread of the process.
struct ZoneAccess
{
    std::function<const ZoneView &()> view;
    /// Whether this entry may start new work on targets: it holds a view lease of the zone coordinator.
    std::function<bool(TimePoint now)> mayDispatch;
    /// Tells the coordinator what is wanted; repeated while requests wait.
    std::function<void(const LoadDemand &demand)> demand;
    /// Zones, the own one first, in which at least one entry is believed alive.
    std::function<std::vector<Zone>()> reachableZones;
    /// HTTP endpoints of the entries of another zone that are believed alive.
    std::function<std::vector<Endpoint>(const Zone &zone)> entries;
    /// Tells the coordinator that a target refused or dropped connections.
    std::function<void(const TargetId &target)> reportBroken;
};

} // namespace tamarackcove
