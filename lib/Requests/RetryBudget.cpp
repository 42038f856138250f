#include "tamarackcove/Requests/RetryBudget.h"

#include <algorithm>

namespace tamarackcove {

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_availableRetries(options.maxSavedRetries)
    , m_random(options.seed)
{
}

void RetryBudget::noteRequest()
{
    m_availableRetries = std::min(m_options.maxSavedRetries, m_availableRetries + m_options.ratio);
}

bool RetryBudget::takeRetry()
{
    if (m_availableRetries < 1.0) {
        return false;
    }
    m_availableRetries -= 1.0;
    return true;
}

milliseconds RetryBudget::backoff(int retry)
{
    auto maxDelay = m_options.firstBackoff;
    for (int i = 1; i < retry && maxDelay < m_options.maxBackoff; ++i) {
        maxDelay *= 2;
    }
    maxDelay = std::min(maxDelay, m_options.maxBackoff);
    std::uniform_int_distribution<milliseconds::rep> jitter(maxDelay.count() / 2, maxDelay.count());
    return milliseconds(jitter(m_random));
}

} // namespace tamarackcove
