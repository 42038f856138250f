#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Control/ControlParts.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

/// Everything an operator asks of a running system, as seen by this control process. `current` tells whether this
/// process has just proven that it leads, so that nothing newer is in effect.
[[nodiscard]] nlohmann::json statusPage(const ControlParts &parts, TimePoint now, bool current);

} // namespace tamarackcove
