#pragma once

namespace tamarackcove {

/// What the requests of a workspace may use, over all entries together.
struct WorkspaceAllowance
{
    enum class Unit {
        Requests,
        /// The prompt tokens of a request and the most tokens that it may generate.
        Tokens,
    };

    Unit unit = Unit::Requests;
    /// Units per second.
    double ratePerSecond = 0;
    /// Units that may be used at once beside the rate.
    double burst = 0;
    /// The cost of a request that does not state its tokens, in tokens.
    double plainRequestTokens = 0;

    /// The cost of a request with these tokens, in units. Both numbers are 0 if the request does not state them.
    /// Thread safe.
    [[nodiscard]] double costOf(int promptTokens, int maxOutputTokens) const
    {
        if (unit == Unit::Requests) {
            return 1;
        }
        const auto tokens = static_cast<double>(promptTokens) + static_cast<double>(maxOutputTokens);
        return tokens > 0 ? tokens : plainRequestTokens;
    }
};

} // namespace tamarackcove
