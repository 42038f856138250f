#pragma once

#include "tamarackcove/Observe/LogLine.h"

#include <string_view>

namespace tamarackcove {

/// Parses a log level as written in the settings: `debug`, `info`, `warning` or `error`. Any other name gives Info.
/// Thread safe.
[[nodiscard]] LogLevel logLevelOf(std::string_view name);

} // namespace tamarackcove
