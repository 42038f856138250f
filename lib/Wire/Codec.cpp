#include "tamarackcove/Wire/Codec.h"

#include "tamarackcove/Wire/BoundedJson.h"

namespace tamarackcove {

static constexpr std::size_t LengthBytes = 4;

Result<std::vector<std::uint8_t>, WireError> encodeFrame(const Message &message)
{
    const nlohmann::json envelope = {{"v", WireVersion}, {"type", message.type}, {"body", message.body}};
    std::vector<std::uint8_t> frame(LengthBytes);
    nlohmann::json::to_msgpack(envelope, frame);
    const auto payloadBytes = frame.size() - LengthBytes;
    if (payloadBytes > MaxFrameBytes) {
        return WireError{WireErrorCode::FrameTooLarge,
                         message.type + " has " + std::to_string(payloadBytes)
                             + " bytes, which exceeds the maximum frame size"};
    }
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        frame[i] = static_cast<std::uint8_t>(payloadBytes >> (8 * (LengthBytes - 1 - i)));
    }
    return frame;
}

static Result<Message, WireError> messageFrom(nlohmann::json envelope)
{
    if (!envelope.is_object() || !envelope.contains("v") || !envelope["v"].is_number_integer()) {
        return WireError{WireErrorCode::BadFrame, "frame is not a msgpack map with an integer field v"};
    }
    if (envelope["v"] != WireVersion) {
        return WireError{WireErrorCode::UnsupportedVersion, "unsupported protocol version " + envelope["v"].dump()};
    }
    if (!envelope.contains("type") || !envelope["type"].is_string() || !envelope.contains("body")) {
        return WireError{WireErrorCode::BadFrame, "frame has no string type or no body"};
    }
    return Message{.type = envelope["type"].get<std::string>(), .body = std::move(envelope["body"])};
}

Result<Message, WireError> decodeFrame(std::span<const std::uint8_t> payload)
{
    try {
        return messageFrom(parseMessagePack(payload));
    } catch (const nlohmann::json::exception &error) {
        return WireError{WireErrorCode::BadFrame, std::string("the frame cannot be read: ") + error.what()};
    }
}

} // namespace tamarackcove
