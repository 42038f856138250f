#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"

namespace tamarackcove {

enum class DestinationKind {
    /// Its streams and responses can be resumed.
    Engine,
    Service,
    /// An entry of another zone.
    Entry,
};

/// Where one attempt of a request goes.
struct Destination
{
    DestinationKind kind = DestinationKind::Engine;
    Endpoint endpoint;
    /// Empty for an entry.
    TargetId target;
    Incarnation incarnation;
};

} // namespace tamarackcove
