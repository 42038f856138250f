#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The parts of one generated token: which adapter and prompt made it, and its place in the response.
struct TokenParts
{
    std::uint32_t adapterMark = 0;
    std::uint32_t promptMark = 0;
    std::size_t offset = 0;

    bool operator==(const TokenParts &) const = default;
};

/// The answer of a simulated engine as a function of adapter, prompt and offset, so that a checker can recompute it.
///
/// Thread safety: a value type; distinct objects may be used from distinct threads.
class TokenFunction
{
public:
    /// The adapter is written `name@version`.
    TokenFunction(std::string_view adapter, std::string_view prompt);

    /// One token with a space at its end.
    [[nodiscard]] std::string token(std::size_t offset) const;
    /// Tokens [from, to) in a row.
    [[nodiscard]] std::string text(std::size_t from, std::size_t to) const;
    [[nodiscard]] TokenParts parts(std::size_t offset) const;

    /// Reads one token without its space.
    [[nodiscard]] static std::optional<TokenParts> parse(std::string_view token);

private:
    std::uint32_t m_adapterMark;
    std::uint32_t m_promptMark;
};

} // namespace tamarackcove
