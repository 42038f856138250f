#pragma once

#include "tamarackcove/Control/StateMachineHooks.h"
#include "tamarackcove/Fleet/FleetState.h"

#include <functional>

namespace tamarackcove {

/// Feeds the fleet state from the replicated log.
///
/// Thread safety: used on one thread.
class FleetLog
{
public:
    /// The hook runs after each command and each snapshot that was applied.
    explicit FleetLog(std::function<void()> onChange);

    /// The hooks are valid as long as this object.
    [[nodiscard]] StateMachineHooks hooks();
    [[nodiscard]] const FleetState &state() const;

private:
    std::function<void()> m_onChange;
    FleetState m_state;
};

} // namespace tamarackcove
