#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Wire/Message.h"
#include "tamarackcove/Wire/WireError.h"

#include <cstdint>
#include <span>
#include <vector>

namespace tamarackcove {

/// The version of the protocol between our own processes. A peer of another version is refused.
inline constexpr int WireVersion = 1;

/// The longest frame that is read or written, without its length field.
inline constexpr std::size_t MaxFrameBytes = 1024 * 1024;

/// Turns a message into a frame: four bytes of length (big endian), then msgpack. Thread safe.
[[nodiscard]] Result<std::vector<std::uint8_t>, WireError> encodeFrame(const Message &message);

/// Turns the msgpack part of a frame into a message. Thread safe.
[[nodiscard]] Result<Message, WireError> decodeFrame(std::span<const std::uint8_t> payload);

/// Wraps a typed message. T has a static member `Type` and NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE.
template<typename T>
[[nodiscard]] Message toMessage(const T &typed)
{
    return Message{.type = std::string(T::Type), .body = nlohmann::json(typed)};
}

/// Reads a typed message; an absent or wrongly typed field is WireErrorCode::BadFrame.
template<typename T>
[[nodiscard]] Result<T, WireError> fromMessage(const Message &message)
{
    if (message.type != T::Type) {
        return WireError{WireErrorCode::UnexpectedMessage,
                         "expected " + std::string(T::Type) + ", got " + message.type};
    }
    try {
        return message.body.get<T>();
    } catch (const nlohmann::json::exception &error) {
        return WireError{WireErrorCode::BadFrame, message.type + ": " + error.what()};
    }
}

} // namespace tamarackcove
