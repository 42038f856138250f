#pragma once

#include <cstddef>
#include <set>

namespace tamarackcove {

class AnswerBuffer;

/// The memory that an entry has for the answers of servers that it has not sent on yet. Once it is used up, the largest
/// answer gives way: a faulty server that sends without end must not cost the callers of others their answers.
///
/// Thread safety: used on one thread.
class AnswerBudget
{
public:
    /// Limit on all answers together. Strings that grow and the copy that is sent take up to three times as much, and
    /// an entry has 160 MB.
    static constexpr std::size_t MaxTotalBytes = 32 * 1024 * 1024;
    /// How much more is lent to other answers until the ones that give way have been given up.
    static constexpr std::size_t MaxOverdraftBytes = 8 * 1024 * 1024;

    AnswerBudget() = default;
    AnswerBudget(const AnswerBudget &) = delete;
    AnswerBudget &operator=(const AnswerBudget &) = delete;

    [[nodiscard]] std::size_t totalBytes() const
    {
        return m_totalBytes;
    }

private:
    friend class AnswerBuffer;

    /// The largest answer that has not given way yet; null if there is none.
    [[nodiscard]] AnswerBuffer *largest() const;

    std::size_t m_totalBytes = 0;
    std::set<AnswerBuffer *> m_answers;
};

} // namespace tamarackcove
