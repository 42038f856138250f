#include "tamarackcove/Store/StoreModel.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tamarackcove {

StoreModel::StoreModel(StoreLimits limits)
    : m_limits(limits)
{
    assert(limits.maxFullSpeedLoads > 0 && "maxFullSpeedLoads must be positive");
}

Duration StoreModel::beginLoad(TimePoint now)
{
    while (!m_recentLoadStarts.empty() && now - m_recentLoadStarts.front() >= m_limits.window) {
        m_recentLoadStarts.pop_front();
    }
    m_recentLoadStarts.push_back(now);
    const std::chrono::duration<double> window = m_limits.window;
    // Rounded up: with a fractional number of loads per window, some windows may contain one load more than others.
    const auto allowed = static_cast<int>(std::ceil(m_limits.loadsPerSecond * window.count()));
    const auto inWindow = static_cast<int>(m_recentLoadStarts.size());
    ++m_counts.loads;
    ++m_counts.inFlight;
    m_counts.maxInFlight = std::max(m_counts.maxInFlight, m_counts.inFlight);
    m_counts.maxInWindow = std::max(m_counts.maxInWindow, inWindow);
    m_counts.rateViolations += inWindow > allowed ? 1 : 0;
    m_counts.concurrencyViolations += m_counts.inFlight > m_limits.concurrentLoads ? 1 : 0;
    const double slowdown = static_cast<double>(m_counts.inFlight) / m_limits.maxFullSpeedLoads;
    return duration_cast<Duration>(std::max(1.0, slowdown) * m_limits.loadTime);
}

void StoreModel::endLoad(bool failed)
{
    assert(m_counts.inFlight > 0 && "endLoad() requires a load in flight");
    --m_counts.inFlight;
    m_counts.failed += failed ? 1 : 0;
}

const StoreCounts &StoreModel::counts() const
{
    return m_counts;
}

} // namespace tamarackcove
