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
    /// Limit on all answers together, unless another one is set.
    static constexpr std::size_t MaxTotalBytes = 32 * 1024 * 1024;
    /// How much more is lent to other answers until the ones that give way have been given up.
    static constexpr std::size_t MaxOverdraftBytes = 8 * 1024 * 1024;

    explicit AnswerBudget(std::size_t maxTotalBytes = MaxTotalBytes)
        : m_maxTotalBytes(maxTotalBytes)
    {
    }
    AnswerBudget(const AnswerBudget &) = delete;
    AnswerBudget &operator=(const AnswerBudget &) = delete;

    [[nodiscard]] std::size_t maxTotalBytes() const
    {
        return m_maxTotalBytes;
    }
    [[nodiscard]] std::size_t totalBytes() const
    {
        return m_totalBytes;
    }

private:
    friend class AnswerBuffer;

    /// The largest answer that has not given way yet; null if there is none.
    [[nodiscard]] AnswerBuffer *largest() const;

    const std::size_t m_maxTotalBytes;
    std::size_t m_totalBytes = 0;
    std::set<AnswerBuffer *> m_answers;
};

} // namespace tamarackcove
