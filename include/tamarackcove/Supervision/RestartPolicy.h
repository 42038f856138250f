#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

enum class Restart {
    /// Restarted whenever it ends.
    Always,
    /// Restarted when it fails, not when it ends by itself.
    OnFailure,
    /// Never restarted; the task of one connection ends with its connection.
    Never,
};

/// When a supervisor restarts a child, and when it gives up on it.
struct RestartPolicy
{
    Restart restart = Restart::OnFailure;
    /// More than this many restarts within the window escalate to the owner of the supervisor.
    int maxRestarts = 5;
    milliseconds window = seconds(10);
    milliseconds firstBackoff = milliseconds(50);
    milliseconds maxBackoff = seconds(2);
};

} // namespace tamarackcove
