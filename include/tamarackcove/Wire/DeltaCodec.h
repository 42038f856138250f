#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationDelta.h"
#include "tamarackcove/Wire/WireError.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace tamarackcove {

/// Encodes a configuration delta as part of a message body. The names of base models and services are listed once, and
/// adapters refer to them by index. Thread safe.
[[nodiscard]] nlohmann::json encodeDelta(const ConfigurationDelta &delta);

/// Decodes the output of encodeDelta(). Fails with BadFrame when a field is absent or of the wrong type. Thread safe.
[[nodiscard]] Result<ConfigurationDelta, WireError> decodeDelta(const nlohmann::json &body);

/// Splits a delta into parts that each fit into a frame. The adapters of one part take at most `maxBytes` in encoded
/// form; everything else is in the first part and is not counted. Applying or appending the parts in order gives the
/// whole delta. Every part already carries the final revision, so the receiver must not use any part before it has
/// received the last one. Only the first part of a full delta has `full` set. Thread safe.
[[nodiscard]] std::vector<ConfigurationDelta> splitDelta(ConfigurationDelta delta, std::size_t maxBytes);

} // namespace tamarackcove
