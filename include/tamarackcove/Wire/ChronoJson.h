#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

/// Encodes a duration in a message as a whole number of milliseconds.
template<>
struct nlohmann::adl_serializer<std::chrono::milliseconds>
{
    static void to_json(json &out, const std::chrono::milliseconds &value)
    {
        out = static_cast<std::int64_t>(value.count());
    }
    static void from_json(const json &in, std::chrono::milliseconds &value)
    {
        value = std::chrono::milliseconds(in.get<std::int64_t>());
    }
};
