#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

enum class Restart {
    /// The child is restarted whenever it ends.
    Always,
    /// The child is restarted when an exception ends it, not when it returns.
    OnFailure,
    /// The child is never restarted. Used for the task of one connection, which ends with the connection.
    Never,
};

/// When a supervisor restarts a child, and when it stops restarting the child and escalates.
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
