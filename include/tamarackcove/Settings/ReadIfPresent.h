#pragma once

#include "tamarackcove/Base/Time.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace tamarackcove {

/// Sets `value` to the setting at `key`; leaves the default in `value` unchanged when the key is absent. Thread safe.
/// Precondition: the schema gives the key the type of `value`.
template<typename Value>
void readIfPresent(const nlohmann::json &settings, std::string_view key, Value &value)
{
    const auto found = settings.find(key);
    if (found != settings.end()) {
        value = found->get<Value>();
    }
}

/// Overload for a duration in whole milliseconds.
inline void readIfPresent(const nlohmann::json &settings, std::string_view key, milliseconds &value)
{
    const auto found = settings.find(key);
    if (found != settings.end()) {
        value = milliseconds(found->get<std::int64_t>());
    }
}

} // namespace tamarackcove
