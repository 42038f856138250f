#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Settings/SettingsError.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Exit code of a binary whose command line or settings are invalid.
inline constexpr int ExitUsage = 2;

/// Reads a JSON settings file and checks it against a JSON schema (draft 7). Thread safe.
///
/// Keys that hold a time end in `_ms` and are whole milliseconds; endpoints are `ip:port`. Schemas set
/// `additionalProperties` to false, so that an unknown key is rejected.
[[nodiscard]] Result<nlohmann::json, SettingsError> loadSettings(const std::string &path, std::string_view schema);

/// Parses settings from a string and checks them against a JSON schema (draft 7). Thread safe.
[[nodiscard]] Result<nlohmann::json, SettingsError> checkSettings(std::string_view text, std::string_view schema);

/// Reads `ip:port` at a key. Precondition: the schema requires the key and makes it a string.
[[nodiscard]] Result<Endpoint, SettingsError> endpointAt(const nlohmann::json &settings, std::string_view key);

/// Reads milliseconds at a key, or the default when the key is absent. Precondition: the schema makes the key an
/// integer.
[[nodiscard]] milliseconds millisecondsAt(const nlohmann::json &settings, std::string_view key,
                                          milliseconds defaultValue);

/// Returns an error when both keys have the same endpoint, unless the port is 0, for which the kernel chooses a port.
[[nodiscard]] Result<void, SettingsError> checkEndpointsDiffer(std::string_view firstKey, const Endpoint &first,
                                                               std::string_view secondKey, const Endpoint &second);

} // namespace tamarackcove
