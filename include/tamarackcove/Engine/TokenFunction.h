#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The fields of one generated token: hashes of the adapter and the prompt, and the position in the response.
struct TokenParts
{
    std::uint32_t adapterHash = 0;
    std::uint32_t promptHash = 0;
    std::size_t offset = 0;

    bool operator==(const TokenParts &) const = default;
};

/// Computes the response of a simulated engine from adapter, prompt and offset alone, so that a checker can recompute
/// it.
///
/// Thread safety: a value type; distinct objects may be used from distinct threads.
class TokenFunction
{
public:
    /// The adapter is written `name@version`.
    TokenFunction(std::string_view adapter, std::string_view prompt);

    /// Returns the token at an offset, followed by a space.
    [[nodiscard]] std::string token(std::size_t offset) const;
    /// Returns the tokens [from, to), concatenated.
    [[nodiscard]] std::string text(std::size_t from, std::size_t to) const;
    [[nodiscard]] TokenParts parts(std::size_t offset) const;

    /// Parses one token without the space after it. Returns nothing if the text is not a token.
    [[nodiscard]] static std::optional<TokenParts> parse(std::string_view token);

private:
    std::uint32_t m_adapterHash;
    std::uint32_t m_promptHash;
};

} // namespace tamarackcove
