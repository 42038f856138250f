#include "tamarackcove/Fleet/CallerBudget.h"

#include <algorithm>

namespace tamarackcove {

/// Times that differ by no more than this count as equal, because the time on the way to the entry is already deducted.
static constexpr milliseconds Tolerance{20};
/// Interval after which the older half of the recent time is forgotten.
static constexpr seconds PeriodLength{10};
/// Smallest share of requests with the longest time at which that time is taken as the start of all callers. In an
/// overload up to half of the requests are repeated attempts.
static constexpr double MinFirstAttemptShare = 0.25;
/// Fewer requests do not show a common time.
static constexpr std::size_t MinRequests = 8;

milliseconds CallerBudget::timeSinceFirstAttempt(milliseconds timeLeft, TimePoint now)
{
    if (now >= m_currentSince + PeriodLength) {
        m_previous = now >= m_currentSince + 2 * PeriodLength ? Period{} : m_current;
        m_current = {};
        m_currentSince = now;
    }
    if (timeLeft > m_current.longest + Tolerance) {
        m_current.firstAttempts = 0;
        m_current.longest = timeLeft;
    }
    ++m_current.requests;
    m_current.firstAttempts += timeLeft + Tolerance >= m_current.longest ? 1 : 0;
    const auto &known = m_current.requests >= MinRequests ? m_current : m_previous;
    const bool common = known.requests >= MinRequests
        && static_cast<double>(known.firstAttempts) >= MinFirstAttemptShare * static_cast<double>(known.requests);
    const auto passed = known.longest - timeLeft;
    return common && passed > Tolerance ? passed : milliseconds(0);
}

} // namespace tamarackcove
