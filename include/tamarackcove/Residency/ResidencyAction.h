#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"

namespace tamarackcove {

enum class ResidencyActionKind {
    Load,
    /// Ask the entries to release the adapter, then unload it.
    Retire,
};

/// One change of what a target holds, as decided by a planner.
struct ResidencyAction
{
    ResidencyActionKind kind = ResidencyActionKind::Load;
    TargetId target;
    AdapterRef adapter;

    bool operator==(const ResidencyAction &) const = default;
};

} // namespace tamarackcove
