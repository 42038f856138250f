#include "tamarackcove/Engine/TokenFunction.h"

#include "tamarackcove/Base/Hash.h"

#include <charconv>
#include <fmt/format.h>

namespace tamarackcove {

// With 24 bits, two given adapters share a hash with a probability of 1 in 16 million. Among 3,000 adapters, some pair
// does with a probability of about 1 in 4.
static constexpr std::uint32_t HashMask = 0xffffff;

TokenFunction::TokenFunction(std::string_view adapter, std::string_view prompt)
    : m_adapterHash(static_cast<std::uint32_t>(hash64(adapter)) & HashMask)
    , m_promptHash(static_cast<std::uint32_t>(hash64(prompt)) & HashMask)
{
}

std::string TokenFunction::token(std::size_t offset) const
{
    return fmt::format("{:06x}.{:06x}.{} ", m_adapterHash, m_promptHash, offset);
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
    return {.adapterHash = m_adapterHash, .promptHash = m_promptHash, .offset = offset};
}

template<typename Integer>
static bool parseNumber(std::string_view text, int base, Integer &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size();
}

std::optional<TokenParts> TokenFunction::parse(std::string_view token)
{
    constexpr std::size_t HashDigits = 6;
    constexpr std::size_t OffsetPosition = 2 * HashDigits + 2;
    constexpr int Hex = 16;
    constexpr int Decimal = 10;
    TokenParts parts;
    if (token.size() <= OffsetPosition || token[HashDigits] != '.' || token[OffsetPosition - 1] != '.'
        || !parseNumber(token.substr(0, HashDigits), Hex, parts.adapterHash)
        || !parseNumber(token.substr(HashDigits + 1, HashDigits), Hex, parts.promptHash)
        || !parseNumber(token.substr(OffsetPosition), Decimal, parts.offset)) {
        return std::nullopt;
    }
    return parts;
}

} // namespace tamarackcove
