#include "tamarackcove/Requests/RetryBudget.h"

#include <algorithm>

namespace tamarackcove {

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_available(options.reserve)
    , m_random(options.seed)
{
}

void RetryBudget::noteRequest()
{
    m_available = std::min(m_options.reserve, m_available + m_options.ratio);
}

bool RetryBudget::take()
{
    if (m_available < 1.0) {
        return false;
    }
    m_available -= 1.0;
    return true;
}

milliseconds RetryBudget::backoff(int retry)
{
    auto longest = m_options.firstBackoff;
    for (int i = 1; i < retry && longest < m_options.maxBackoff; ++i) {
        longest *= 2;
    }
    longest = std::min(longest, m_options.maxBackoff);
    std::uniform_int_distribution<milliseconds::rep> jitter(longest.count() / 2, longest.count());
    return milliseconds(jitter(m_random));
}

} // namespace tamarackcove
