#include "tamarackcove/Wire/Codec.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr std::uint8_t ArrayOfOne = 0x91;
static constexpr std::uint8_t MapOfOne = 0x81;
static constexpr std::uint8_t ShortKey = 0xa1;
static constexpr std::uint8_t Nil = 0xc0;

// Guards against a process whose stack overflows when it reads one frame.
TEST_CASE("a frame with deeply nested arrays or maps is refused")
{
    std::vector<std::uint8_t> arrays(MaxFrameBytes - 1, ArrayOfOne);
    std::vector<std::uint8_t> unended = arrays;
    arrays.push_back(Nil);
    std::vector<std::uint8_t> maps;
    while (maps.size() + 3 < MaxFrameBytes) {
        maps.insert(maps.end(), {MapOfOne, ShortKey, 'k'});
    }
    maps.push_back(Nil);
    for (const auto &payload : {arrays, unended, maps}) {
        const auto decoded = decodeFrame(payload);
        REQUIRE(decoded.has_error());
        CHECK(decoded.error().code == WireErrorCode::BadFrame);
    }
}

// Guards against a limit on the nesting that refuses messages of our own.
TEST_CASE("a frame with arrays in maps in arrays is read as it was written")
{
    const Message message{.type = "t",
                          .body = {{"list", {1, -2, 2.5, nullptr, true, "text", {{"inner", nlohmann::json::array()}}}},
                                   {"binary", nlohmann::json::binary({1, 2, 3})},
                                   {"empty", nlohmann::json::object()}}};
    const auto frame = encodeFrame(message);
    REQUIRE(frame.has_value());
    const auto decoded = decodeFrame(std::span(frame.value()).subspan(4));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().type == message.type);
    CHECK(decoded.value().body == message.body);
}

// Guards against bytes after a message that are read as a part of it, and against a frame that ends early.
TEST_CASE("a frame with bytes too many or too few is refused")
{
    const auto frame = encodeFrame({.type = "t", .body = {{"list", {1, 2, 3}}}});
    REQUIRE(frame.has_value());
    std::vector<std::uint8_t> payload(frame.value().begin() + 4, frame.value().end());
    for (std::size_t length = 0; length < payload.size(); ++length) {
        CHECK(decodeFrame(std::span(payload).first(length)).has_error());
    }
    payload.push_back(Nil);
    CHECK(decodeFrame(payload).has_error());
}
