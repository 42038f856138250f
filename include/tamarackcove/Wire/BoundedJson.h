#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace tamarackcove {

/// The deepest nesting of arrays and objects in a document that is read. nlohmann::json calls itself once for each
/// level when it reads msgpack and when it copies or prints a value, so that a deeper document could overflow the
/// stack.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Reads a JSON text from outside this process. Throws nlohmann::json::exception when the text is malformed or nested
/// more deeply than MaxJsonDepth. Thread safe.
[[nodiscard]] nlohmann::json parseJson(std::string_view text);

/// Reads a msgpack document from outside this process, with the limits and errors of parseJson(). Thread safe.
[[nodiscard]] nlohmann::json parseMessagePack(std::span<const std::uint8_t> bytes);

} // namespace tamarackcove
