#pragma once

#include "tamarackcove/Observe/LogLine.h"

#include <string_view>

namespace tamarackcove {

/// The level of a name in the settings: `debug`, `info`, `warning` or `error`; any other name is `info`. Thread safe.
[[nodiscard]] LogLevel logLevelOf(std::string_view name);

} // namespace tamarackcove
