#include "tamarackcove/Gateway/AnswerBuffer.h"

#include "tamarackcove/Gateway/AnswerBudget.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

AnswerBuffer *AnswerBudget::largest() const
{
    const auto found = std::max_element(m_answers.begin(), m_answers.end(), [](const auto *a, const auto *b) {
        return (a->givesWay() ? 0 : a->size()) < (b->givesWay() ? 0 : b->size());
    });
    return found == m_answers.end() || (*found)->givesWay() ? nullptr : *found;
}

AnswerBuffer::AnswerBuffer(AnswerBudget &budget)
    : m_budget(budget)
{
    m_budget.m_answers.insert(this);
}

AnswerBuffer::~AnswerBuffer()
{
    assert(m_budget.m_totalBytes >= m_bytes && "every byte of an answer is counted in the total");
    m_budget.m_totalBytes -= m_bytes;
    m_budget.m_answers.erase(this);
}

bool AnswerBuffer::resize(std::size_t bytes)
{
    auto &total = m_budget.m_totalBytes;
    const bool grows = bytes > m_bytes;
    if (grows && (bytes > MaxAnswerBytes || m_givesWay)) {
        return false;
    }
    const auto newTotal = total - m_bytes + bytes;
    if (grows && bytes > GuaranteedBytes && newTotal > m_budget.maxTotalBytes()) {
        auto *largest = m_budget.largest();
        if (largest == this || largest == nullptr
            || newTotal > m_budget.maxTotalBytes() + AnswerBudget::MaxOverdraftBytes) {
            return false;
        }
        largest->m_givesWay = true;
    }
    total = newTotal;
    m_bytes = bytes;
    return true;
}

} // namespace tamarackcove
