#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"

namespace tamarackcove {

enum class DestinationKind {
    /// An engine, whose streams and responses can be resumed.
    Engine,
    Service,
    /// An entry of another zone.
    Entry,
};

/// The target, or the entry of another zone, that one attempt of a request is sent to.
struct Destination
{
    DestinationKind kind = DestinationKind::Engine;
    Endpoint endpoint;
    /// Empty for an entry.
    TargetId target;
    Incarnation incarnation;
};

} // namespace tamarackcove
