#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationError.h"
#include "tamarackcove/Configuration/Intent.h"
#include "tamarackcove/Configuration/Plan.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

/// Parses an intent in the JSON form of the administration API. An unknown field or one of the wrong type is an error
/// that names the field. The field `command_id` is accepted and ignored. The result is normalised.
[[nodiscard]] Result<Intent, ConfigurationError> intentFromJson(const nlohmann::json &body);
[[nodiscard]] nlohmann::json intentToJson(const Intent &intent);

/// Returns a plan in the JSON form of the administration API. Each list has at most `maxListed` elements; `counts` has
/// the full lengths.
[[nodiscard]] nlohmann::json planToJson(const Plan &plan, std::size_t maxListed = 1000);

} // namespace tamarackcove
