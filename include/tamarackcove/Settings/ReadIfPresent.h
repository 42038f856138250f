#pragma once

#include "tamarackcove/Base/Time.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace tamarackcove {

/// Replaces the value by the setting at the key; keeps it, as the default, when the key is absent. Thread safe.
/// Precondition: the schema gives the key this type.
template<typename Value>
void readIfPresent(const nlohmann::json &settings, std::string_view key, Value &value)
{
    const auto found = settings.find(key);
    if (found != settings.end()) {
        value = found->get<Value>();
    }
}

/// The same for a time in whole milliseconds.
inline void readIfPresent(const nlohmann::json &settings, std::string_view key, milliseconds &value)
{
    const auto found = settings.find(key);
    if (found != settings.end()) {
        value = milliseconds(found->get<std::int64_t>());
    }
}

} // namespace tamarackcove
