#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Fleet/FleetState.h"
#include "tamarackcove/Wire/WireError.h"

#include <string>
#include <string_view>

namespace tamarackcove {

/// Commands of the fleet state as the replicated log keeps them. Thread safe.
[[nodiscard]] std::string encodeFleetCommand(const FleetCommand &command);
[[nodiscard]] Result<FleetCommand, WireError> decodeFleetCommand(std::string_view bytes);

/// The whole fleet state as bytes, for snapshots. Thread safe.
[[nodiscard]] std::string encodeFleetImage(const FleetState::Image &image);
[[nodiscard]] Result<FleetState::Image, WireError> decodeFleetImage(std::string_view bytes);

} // namespace tamarackcove
