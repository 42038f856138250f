#pragma once

#include <string_view>

namespace tamarackcove {

struct TracedRequest;

enum class AnswerVerdict {
    Right,
    /// Tokens are missing, in the middle or at the end.
    Cut,
    /// A token came twice, or after the end.
    Doubled,
    WrongAdapter,
    /// The answer belongs to another request.
    Crossed,
};

/// Compares an answer of a simulated engine with what the request asked. Thread safe.
[[nodiscard]] AnswerVerdict checkAnswer(const TracedRequest &request, std::string_view text);

} // namespace tamarackcove
