#include "tamarackcove/Residency/PermitGate.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace tamarackcove {

void PermitGate::setPermit(double loadsPerSecond, int concurrentLoads, TimePoint validUntil, TimePoint now)
{
    refill(now);
    if (m_refilledAt == TimePoint::min()) {
        m_refilledAt = now;
        m_saved = 1;
    }
    m_rate = loadsPerSecond;
    m_concurrent = concurrentLoads;
    m_validUntil = validUntil;
}

void PermitGate::refill(TimePoint now)
{
    if (m_refilledAt == TimePoint::min()) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(std::min(now, m_validUntil) - m_refilledAt);
    m_saved = std::min(1.0, m_saved + std::max(0.0, elapsed.count()) * m_rate);
    m_refilledAt = now;
}

int PermitGate::allowed(TimePoint now)
{
    refill(now);
    if (now >= m_validUntil) {
        return 0;
    }
    return std::max(0, std::min(m_concurrent - m_underWay, static_cast<int>(m_saved)));
}

std::optional<TimePoint> PermitGate::nextAllowed(TimePoint now)
{
    refill(now);
    if (now >= m_validUntil || m_underWay >= m_concurrent || m_rate <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> wait(std::max(0.0, 1 - m_saved) / m_rate);
    // Rounded up, so that the load is allowed when the time has come.
    return now + std::chrono::ceil<milliseconds>(wait);
}

void PermitGate::start(TimePoint now)
{
    assert(allowed(now) > 0 && "a load needs a permit");
    refill(now);
    m_saved -= 1;
    ++m_underWay;
}

void PermitGate::finish()
{
    assert(m_underWay > 0 && "only a load that was started can finish");
    --m_underWay;
}

int PermitGate::underWay() const
{
    return m_underWay;
}

} // namespace tamarackcove
