#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationDelta.h"
#include "tamarackcove/Wire/WireError.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace tamarackcove {

/// The body of a configuration delta in a message. Base models and services are listed once and referred to by their
/// index. Thread safe.
[[nodiscard]] nlohmann::json encodeDelta(const ConfigurationDelta &delta);

/// Thread safe.
[[nodiscard]] Result<ConfigurationDelta, WireError> decodeDelta(const nlohmann::json &body);

/// Splits a delta into parts that each fit into a frame and that give the whole when they are applied or appended in
/// order. The first part leads to the last revision already, so none may be used before the last one is there. Only the
/// first part of a full delta is full. Thread safe.
[[nodiscard]] std::vector<ConfigurationDelta> splitDelta(ConfigurationDelta delta, std::size_t maxBytes);

} // namespace tamarackcove
