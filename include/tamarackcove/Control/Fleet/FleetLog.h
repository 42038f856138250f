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
    /// Called after each command that was applied, and with null after each snapshot.
    using OnChange = std::function<void(const FleetCommand *command)>;

    explicit FleetLog(OnChange onChange);

    /// Precondition: this object outlives the hooks.
    [[nodiscard]] StateMachineHooks hooks();
    [[nodiscard]] const FleetState &state() const;

private:
    OnChange m_onChange;
    FleetState m_state;
};

} // namespace tamarackcove
