#pragma once

#include "tamarackcove/Control/ControlSettings.h"

namespace tamarackcove {

/// Runs a control process until SIGTERM or SIGINT and returns its exit code: 0 after a graceful shutdown, 1 when it
/// cannot start or fails.
///
/// Call once per process, on its main thread, after initLogging().
int runControlProcess(const ControlSettings &settings);

} // namespace tamarackcove
