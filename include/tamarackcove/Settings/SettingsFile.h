#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Settings/SettingsError.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Exit code of a binary whose command line or settings are wrong.
inline constexpr int ExitUsage = 2;

/// Reads a JSON settings file and checks it against a JSON schema (draft 7). Thread safe.
///
/// Keys that hold a time end in `_ms` and are whole milliseconds; endpoints are `ip:port`. A schema sets
/// `additionalProperties` to false, so an unknown key is refused.
[[nodiscard]] Result<nlohmann::json, SettingsError> loadSettings(const std::string &path, std::string_view schema);

/// Checks settings that are already in memory. Thread safe.
[[nodiscard]] Result<nlohmann::json, SettingsError> checkSettings(std::string_view text, std::string_view schema);

/// Reads `ip:port` at a key. Precondition: the schema requires the key.
[[nodiscard]] Result<Endpoint, SettingsError> endpointAt(const nlohmann::json &settings, std::string_view key);

/// Reads milliseconds at a key, or the default when the key is absent. Precondition: the schema makes it an integer.
[[nodiscard]] milliseconds millisecondsAt(const nlohmann::json &settings, std::string_view key, milliseconds absent);

/// Refuses two keys with the same endpoint, unless the port is 0.
[[nodiscard]] Result<void, SettingsError> checkDistinct(std::string_view firstKey, const Endpoint &first,
                                                        std::string_view secondKey, const Endpoint &second);

} // namespace tamarackcove
