#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Wire/Message.h"
#include "tamarackcove/Wire/WireError.h"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace tamarackcove {

/// The version of the protocol between our own processes, sent in every frame. decodeFrame() rejects frames of any
/// other version with WireErrorCode::UnsupportedVersion.
inline constexpr int WireVersion = 1;

/// The maximum size of a frame that is read or written, not counting its length field.
inline constexpr std::size_t MaxFrameBytes = 1024 * 1024;

/// An encoded frame that several connections can write.
using SharedFrame = std::shared_ptr<const std::vector<std::uint8_t>>;

/// Encodes a message as a frame: the payload length as four bytes in big-endian order, then the msgpack payload. Fails
/// with FrameTooLarge when the payload is longer than MaxFrameBytes. Thread safe.
[[nodiscard]] Result<std::vector<std::uint8_t>, WireError> encodeFrame(const Message &message);

/// Decodes the msgpack payload of a frame. Fails with BadFrame or UnsupportedVersion. Thread safe.
[[nodiscard]] Result<Message, WireError> decodeFrame(std::span<const std::uint8_t> payload);

/// Converts a typed message to its generic form. T has a static member `Type` and is listed in
/// NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE. Thread safe.
template<typename T>
[[nodiscard]] Message toMessage(const T &typed)
{
    return Message{.type = std::string(T::Type), .body = nlohmann::json(typed)};
}

/// Converts a message to its typed form. Fails with UnexpectedMessage when the message is of another type, and with
/// BadFrame when a field is absent or of the wrong type. Thread safe.
template<typename T>
[[nodiscard]] Result<T, WireError> fromMessage(const Message &message)
{
    if (message.type != T::Type) {
        return WireError{WireErrorCode::UnexpectedMessage,
                         "expected message type " + std::string(T::Type) + ", got " + message.type};
    }
    try {
        return message.body.get<T>();
    } catch (const nlohmann::json::exception &error) {
        return WireError{WireErrorCode::BadFrame, message.type + ": " + error.what()};
    }
}

} // namespace tamarackcove
