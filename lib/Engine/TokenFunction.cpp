#include "tamarackcove/Engine/TokenFunction.h"

#include "tamarackcove/Base/Hash.h"

#include <charconv>
#include <fmt/format.h>

namespace tamarackcove {

// 24 bits: 3,000 adapters share a mark with a chance of about one in four, two given ones with one in 16 million.
static constexpr std::uint32_t MarkMask = 0xffffff;

TokenFunction::TokenFunction(std::string_view adapter, std::string_view prompt)
    : m_adapterMark(static_cast<std::uint32_t>(hash64(adapter)) & MarkMask)
    , m_promptMark(static_cast<std::uint32_t>(hash64(prompt)) & MarkMask)
{
}

std::string TokenFunction::token(std::size_t offset) const
{
    return fmt::format("{:06x}.{:06x}.{} ", m_adapterMark, m_promptMark, offset);
}

std::string TokenFunction::text(std::size_t from, std::size_t to) const
{
    std::string result;
    for (auto offset = from; offset < to; ++offset) {
        result += token(offset);
    }
    return result;
}

TokenParts TokenFunction::parts(std::size_t offset) const
{
    return {.adapterMark = m_adapterMark, .promptMark = m_promptMark, .offset = offset};
}

template<typename Integer>
static bool parseWhole(std::string_view text, int base, Integer &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size();
}

std::optional<TokenParts> TokenFunction::parse(std::string_view token)
{
    constexpr std::size_t MarkDigits = 6;
    constexpr std::size_t OffsetAt = 2 * MarkDigits + 2;
    constexpr int Hex = 16;
    constexpr int Decimal = 10;
    TokenParts parts;
    if (token.size() <= OffsetAt || token[MarkDigits] != '.' || token[OffsetAt - 1] != '.'
        || !parseWhole(token.substr(0, MarkDigits), Hex, parts.adapterMark)
        || !parseWhole(token.substr(MarkDigits + 1, MarkDigits), Hex, parts.promptMark)
        || !parseWhole(token.substr(OffsetAt), Decimal, parts.offset)) {
        return std::nullopt;
    }
    return parts;
}

} // namespace tamarackcove
