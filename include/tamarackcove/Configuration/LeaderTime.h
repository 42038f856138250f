#pragma once

#include <chrono>

namespace tamarackcove {

/// The wall clock of the control leader when it appended a command. The state machine has no clock of its own, so that
/// every replica expires the same records at the same command.
using LeaderTime = std::chrono::system_clock::time_point;

} // namespace tamarackcove
