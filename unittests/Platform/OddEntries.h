#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace tamarackcove::test {

/// Deep enough to overflow the stack of a function that calls itself once for each level.
inline constexpr std::size_t DeepNesting = 1000000;

inline std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// A JSON object of which one field has deeply nested arrays as its value.
inline std::string withNestedField(nlohmann::json object, const std::string &field)
{
    object.erase(field);
    auto text = object.dump();
    text.pop_back();
    return text + ",\"" + field + "\":" + nestedArrays(DeepNesting) + '}';
}

inline nlohmann::json heartbeatAt(const std::string &address)
{
    return {{"service", "plain"}, {"addr", address}, {"zone", "z"}, {"slots", 8},
            {"state", "ready"},   {"seq", 1},        {"born", 1},   {"models", nlohmann::json::array()}};
}

inline nlohmann::json stateReport()
{
    return {{"born", 1}, {"models", {{{"name", "m"}, {"adapters", {"a1@1"}}}}}, {"busy", false}, {"seq", 0}};
}

/// A field with its value as JSON text, because not all of these values can be made with the constructors of the
/// library.
struct OddField
{
    const char *name;
    const char *value;
};

inline std::string withField(nlohmann::json object, const OddField &field)
{
    object.erase(field.name);
    auto text = object.dump();
    text.pop_back();
    return text + ",\"" + field.name + "\":" + field.value + '}';
}

} // namespace tamarackcove::test
