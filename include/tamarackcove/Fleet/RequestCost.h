#pragma once

namespace tamarackcove {

/// What a request is expected to cost the server that runs it.
struct RequestCost
{
    /// Tokens of the prompt, which the server reads before the first event.
    double promptTokens = 0;
    /// Tokens that the server is expected to generate.
    double outputTokens = 0;

    /// Tokens that the server holds in memory at the end of the request.
    [[nodiscard]] double memoryTokens() const
    {
        return promptTokens + outputTokens;
    }
    /// The time that the request takes from the others of the server, in units of one prompt token.
    [[nodiscard]] double work() const
    {
        // A step generates one token for each of some 20 requests in the time in which about 200 prompt tokens are
        // read.
        constexpr double PromptTokensPerOutputToken = 10;
        return promptTokens + PromptTokensPerOutputToken * outputTokens;
    }
};

} // namespace tamarackcove
