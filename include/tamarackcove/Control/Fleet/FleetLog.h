#pragma once

#include "tamarackcove/Control/StateMachineHooks.h"
#include "tamarackcove/Fleet/FleetState.h"

#include <functional>

namespace tamarackcove {

/// Applies the commands and snapshots of the replicated log to the fleet state.
///
/// Thread safety: used on one thread.
class FleetLog
{
public:
    /// `onChange` is called after each command and each snapshot that was applied.
    explicit FleetLog(std::function<void()> onChange);

    /// Precondition: this object outlives the hooks.
    [[nodiscard]] StateMachineHooks hooks();
    [[nodiscard]] const FleetState &state() const;

private:
    std::function<void()> m_onChange;
    FleetState m_state;
};

} // namespace tamarackcove
