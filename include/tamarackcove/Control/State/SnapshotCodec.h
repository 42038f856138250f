#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationState.h"
#include "tamarackcove/Wire/WireError.h"

#include <string>
#include <string_view>

namespace tamarackcove {

/// Encodes the whole state. Equal states give equal bytes. Thread safe.
[[nodiscard]] std::string encodeSnapshot(const ConfigurationState &state);

/// Replaces the state by the decoded snapshot. On an error the state is unchanged.
[[nodiscard]] Result<void, WireError> decodeSnapshot(std::string_view bytes, ConfigurationState &state);

} // namespace tamarackcove
