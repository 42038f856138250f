#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

namespace tamarackcove {

/// Encodes the fields of a message as an array.
template<typename... Fields>
[[nodiscard]] nlohmann::json toArray(const Fields &...fields)
{
    auto array = nlohmann::json::array();
    array.get_ref<nlohmann::json::array_t &>().reserve(sizeof...(fields));
    (array.push_back(fields), ...);
    return array;
}

/// Decodes the fields of a message from an array. Throws nlohmann::json::exception when one is absent or of the wrong
/// type.
template<typename... Fields>
void fromArray(const nlohmann::json &array, Fields &...fields)
{
    std::size_t index = 0;
    (array.at(index++).get_to(fields), ...);
}

} // namespace tamarackcove
