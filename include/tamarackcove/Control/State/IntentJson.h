#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationError.h"
#include "tamarackcove/Configuration/Intent.h"
#include "tamarackcove/Configuration/Plan.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

/// Reads an intent in the form of the administration API; an unknown or wrongly typed field is refused with its name.
/// The field `command_id` is passed over. The result is normalised.
[[nodiscard]] Result<Intent, ConfigurationError> intentFromJson(const nlohmann::json &body);
[[nodiscard]] nlohmann::json intentToJson(const Intent &intent);

/// A plan as operators see it. Lists longer than the limit are cut; `counts` has their whole lengths.
[[nodiscard]] nlohmann::json planToJson(const Plan &plan, std::size_t maxListed = 1000);

} // namespace tamarackcove
