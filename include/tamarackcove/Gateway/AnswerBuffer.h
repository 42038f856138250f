#pragma once

#include <cstddef>

namespace tamarackcove {

class AnswerBudget;

/// Counts the bytes of one answer that were read and not sent on yet, against a limit for each answer and the budget of
/// all answers of an entry.
///
/// Thread safety: used on one thread.
class AnswerBuffer
{
public:
    /// Limit on the body of one complete answer. A longer answer can only be a stream.
    static constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
    /// What an answer may take whatever the others have taken.
    static constexpr std::size_t GuaranteedBytes = 16 * 1024;

    /// Precondition: the budget outlives this object.
    explicit AnswerBuffer(AnswerBudget &budget);
    ~AnswerBuffer();
    AnswerBuffer(const AnswerBuffer &) = delete;
    AnswerBuffer &operator=(const AnswerBuffer &) = delete;

    /// Sets the number of bytes that are counted until this object is destroyed. Returns false and changes nothing if a
    /// limit would be exceeded, or if the answer has to give way to others; the answer is given up then.
    [[nodiscard]] bool resize(std::size_t bytes);
    /// Counts further bytes, as resize() does.
    [[nodiscard]] bool add(std::size_t bytes)
    {
        return resize(m_bytes + bytes);
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_bytes;
    }
    /// Whether the answer has to give way to others.
    [[nodiscard]] bool givesWay() const
    {
        return m_givesWay;
    }

private:
    AnswerBudget &m_budget;
    std::size_t m_bytes = 0;
    bool m_givesWay = false;
};

} // namespace tamarackcove
