#include "tamarackcove/Load/AnswerChecker.h"

#include "tamarackcove/Engine/TokenFunction.h"
#include "tamarackcove/Load/TraceGenerator.h"

namespace tamarackcove {

AnswerVerdict checkAnswer(const TracedRequest &request, std::string_view text)
{
    const TokenFunction expected(request.adapter, request.prompt);
    std::size_t count = 0;
    while (!text.empty()) {
        const auto end = text.find(' ');
        const auto token = TokenFunction::parse(text.substr(0, end));
        if (!token || end == std::string_view::npos) {
            return AnswerVerdict::Cut;
        }
        const auto expectedParts = expected.parts(count);
        if (token->promptHash != expectedParts.promptHash) {
            return AnswerVerdict::Crossed;
        }
        if (token->adapterHash != expectedParts.adapterHash) {
            return AnswerVerdict::WrongAdapter;
        }
        if (token->offset != expectedParts.offset) {
            return token->offset < expectedParts.offset ? AnswerVerdict::Doubled : AnswerVerdict::Cut;
        }
        ++count;
        text.remove_prefix(end + 1);
    }
    const auto tokens = static_cast<std::size_t>(request.answerTokens);
    if (count == tokens) {
        return AnswerVerdict::Correct;
    }
    return count < tokens ? AnswerVerdict::Cut : AnswerVerdict::Doubled;
}

} // namespace tamarackcove
