#pragma once

#include "tamarackcove/Base/Ids.h"

namespace tamarackcove {

enum class RouteKind {
    /// Dispatch to the target.
    Target,
    /// Forward to an entry of the zone RouteChoice::zone.
    Forward,
    /// Wait at this entry until the adapter is loaded in this entry's zone.
    WaitForLoad,
    /// No zone can serve the request now.
    None,
};

/// The routing decision for one request.
struct RouteChoice
{
    RouteKind kind = RouteKind::None;
    TargetId target;
    Zone zone;
};

} // namespace tamarackcove
