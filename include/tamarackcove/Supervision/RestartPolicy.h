#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

enum class Restart {
    /// Restarted whenever it ends.
    Always,
    /// Restarted when it fails, not when it returns.
    OnFailure,
    /// Never restarted, as for the task of one connection, which ends with the connection.
    Never,
};

/// When a supervisor restarts a child, and when it gives up on it.
struct RestartPolicy
{
    Restart restart = Restart::OnFailure;
    /// If a child ends again after this many restarts within `window`, it is not restarted; the supervisor calls its
    /// escalation hook instead.
    int maxRestarts = 5;
    milliseconds window = seconds(10);
    /// Delay before the first restart within `window`; it doubles with each further one, up to `maxBackoff`.
    milliseconds firstBackoff = milliseconds(50);
    milliseconds maxBackoff = seconds(2);
};

} // namespace tamarackcove
