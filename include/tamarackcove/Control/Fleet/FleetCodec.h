#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Fleet/FleetState.h"
#include "tamarackcove/Wire/WireError.h"

#include <string>
#include <string_view>

namespace tamarackcove {

/// Encode and decode commands of the fleet state for the replicated log. Thread safe.
[[nodiscard]] std::string encodeFleetCommand(const FleetCommand &command);
[[nodiscard]] Result<FleetCommand, WireError> decodeFleetCommand(std::string_view bytes);

/// Encode and decode the whole fleet state for snapshots. Thread safe.
[[nodiscard]] std::string encodeFleetImage(const FleetState::Image &image);
[[nodiscard]] Result<FleetState::Image, WireError> decodeFleetImage(std::string_view bytes);

} // namespace tamarackcove
