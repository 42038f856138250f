#pragma once

#include <chrono>

namespace tamarackcove {

/// The wall-clock time at which the control leader appended a command to the log. The replicated state machine uses
/// only this time, so that every replica expires the same records at the same command.
using LeaderTime = std::chrono::system_clock::time_point;

} // namespace tamarackcove
