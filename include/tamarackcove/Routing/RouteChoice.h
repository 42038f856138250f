#pragma once

#include "tamarackcove/Base/Ids.h"

namespace tamarackcove {

enum class RouteKind {
    /// Dispatch to the target.
    Target,
    /// Forward to an entry of the zone.
    Forward,
    /// Wait here for the adapter to be loaded in the own zone.
    WaitForLoad,
    /// No zone can serve it now.
    None,
};

/// Where a request goes.
struct RouteChoice
{
    RouteKind kind = RouteKind::None;
    TargetId target;
    Zone zone;
};

} // namespace tamarackcove
