#pragma once

#include <cassert>
#include <cstddef>

namespace tamarackcove {

/// Counts the bytes of an answer that is collected before it is sent on, against a limit for each answer and a limit
/// for all answers of an entry together.
///
/// Thread safety: used on one thread.
class AnswerBuffer
{
public:
    /// Limit on the body of one complete answer. A longer answer can only be a stream.
    static constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
    /// Limit on the bodies of all answers that an entry collects at a time: strings that grow and the copy that is sent
    /// take up to three times as much, and an entry has 160 MB.
    static constexpr std::size_t MaxTotalBytes = 2 * MaxAnswerBytes;

    /// `total` is the number of bytes that all answers of the entry hold. Precondition: it outlives this object.
    explicit AnswerBuffer(std::size_t &total)
        : m_total(total)
    {
    }
    ~AnswerBuffer()
    {
        assert(m_total >= m_bytes && "every byte of an answer is counted in the total");
        m_total -= m_bytes;
    }
    AnswerBuffer(const AnswerBuffer &) = delete;
    AnswerBuffer &operator=(const AnswerBuffer &) = delete;

    /// Counts further bytes until this object is destroyed. Returns false and counts nothing if a limit would be
    /// exceeded.
    [[nodiscard]] bool add(std::size_t bytes)
    {
        if (m_bytes + bytes > MaxAnswerBytes || m_total + bytes > MaxTotalBytes) {
            return false;
        }
        m_bytes += bytes;
        m_total += bytes;
        return true;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_bytes;
    }

private:
    std::size_t &m_total;
    std::size_t m_bytes = 0;
};

} // namespace tamarackcove
