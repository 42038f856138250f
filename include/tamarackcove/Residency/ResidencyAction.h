#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"

namespace tamarackcove {

enum class ResidencyActionKind {
    Load,
    /// Ask the entries of the zone to release the adapter, that is, to start no more requests with it on the target;
    /// then unload it.
    Retire,
};

/// A planner's decision to load an adapter on a target or to retire it from the target.
struct ResidencyAction
{
    ResidencyActionKind kind = ResidencyActionKind::Load;
    TargetId target;
    AdapterRef adapter;

    bool operator==(const ResidencyAction &) const = default;
};

} // namespace tamarackcove
