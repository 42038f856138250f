#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Residency/LoadDemand.h"

#include <functional>
#include <vector>

namespace tamarackcove {

class ZoneView;

/// The view of the zones and the calls to the zone coordinator that the request path of an entry uses.
///
/// Thread safety: all functions are called on the thread that runs the entry process.
struct ZoneAccess
{
    std::function<const ZoneView &()> view;
    /// Whether this entry may start new work on targets: it holds a view lease from the zone coordinator, or it is the
    /// coordinator and holds the lease of the zone.
    std::function<bool(TimePoint now)> mayDispatch;
    /// Tells the coordinator which adapter requests wait for. The request path calls it again while requests wait.
    std::function<void(const LoadDemand &demand)> demand;
    /// This entry's zone, followed by the other zones in which the coordinator considers at least one entry alive.
    std::function<std::vector<Zone>()> reachableZones;
    /// The HTTP endpoints of the entries of another zone that the coordinator considers alive.
    std::function<std::vector<Endpoint>(const Zone &zone)> entries;
    /// Tells the coordinator that a target refused or dropped connections.
    std::function<void(const TargetId &target)> reportUnreachable;
};

} // namespace tamarackcove
