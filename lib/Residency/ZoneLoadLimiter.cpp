#include "tamarackcove/Residency/ZoneLoadLimiter.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

ZoneLoadLimiter::ZoneLoadLimiter(PermitTiming timing, TimePoint now, int inFlight)
    : m_timing(timing)
    , m_lastAnswerAt(now)
    , m_creditUpdatedAt(now)
    , m_validUntil(now)
    , m_inFlight(inFlight)
{
}

void ZoneLoadLimiter::applyAnswer(const PermitAnswer &answer, TimePoint sentAt, TimePoint now)
{
    if (answer.stamp <= m_stamp) {
        return;
    }
    m_credit = credit(now);
    m_creditUpdatedAt = now;
    m_stamp = answer.stamp;
    m_granted = answer.permittedLimits;
    m_validUntil = sentAt + answer.validFor;
    m_quota = answer.quota;
    m_lastAnswerAt = now;
}

void ZoneLoadLimiter::relinquishExcess(LoadLimits wanted, TimePoint now)
{
    m_credit = credit(now);
    m_creditUpdatedAt = now;
    m_granted.loadsPerSecond = std::min(m_granted.loadsPerSecond, wanted.loadsPerSecond);
    m_granted.concurrentLoads = std::min(m_granted.concurrentLoads, wanted.concurrentLoads);
}

void ZoneLoadLimiter::setQuota(LoadLimits quota, TimePoint now)
{
    m_credit = credit(now);
    m_creditUpdatedAt = now;
    m_quota = quota;
}

TimePoint ZoneLoadLimiter::quotaUsableFrom() const
{
    return std::max(m_validUntil, m_lastAnswerAt + 2 * m_timing.lease + m_timing.longestLoad);
}

bool ZoneLoadLimiter::usesQuota(TimePoint now) const
{
    return now >= quotaUsableFrom();
}

static double secondsBetween(TimePoint from, TimePoint to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double ZoneLoadLimiter::credit(TimePoint now) const
{
    const double earned = m_granted.loadsPerSecond * secondsBetween(m_creditUpdatedAt, std::min(now, m_validUntil))
        + m_quota.loadsPerSecond * secondsBetween(std::max(m_creditUpdatedAt, quotaUsableFrom()), now);
    return std::min(1.0, m_credit + earned);
}

LoadLimits ZoneLoadLimiter::permittedLimits(TimePoint now) const
{
    if (now < m_validUntil) {
        return m_granted;
    }
    return usesQuota(now) ? m_quota : LoadLimits{};
}

TimePoint ZoneLoadLimiter::nextStart(TimePoint now) const
{
    const auto current = permittedLimits(now);
    // A rate below one load in about eleven days counts as zero; the interval between loads would overflow.
    constexpr double MinUsableRate = 1e-6;
    if (current.concurrentLoads <= m_inFlight || current.loadsPerSecond < MinUsableRate) {
        return TimePoint::max();
    }
    // Tolerates rounding errors: without the margin the credit could still be slightly below one at the time that this
    // function returned.
    constexpr double WholeLoad = 1.0 - 1e-9;
    const double missing = WholeLoad - credit(now);
    if (missing <= 0) {
        return now;
    }
    return now + std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / current.loadsPerSecond));
}

bool ZoneLoadLimiter::tryStart(TimePoint now)
{
    if (now < nextStart(now)) {
        return false;
    }
    m_credit = credit(now) - 1.0;
    m_creditUpdatedAt = now;
    ++m_inFlight;
    return true;
}

void ZoneLoadLimiter::recordLoadEnd()
{
    assert(m_inFlight > 0 && "a load ended but none is in progress");
    --m_inFlight;
}

int ZoneLoadLimiter::inFlight() const
{
    return m_inFlight;
}

PermitRequest ZoneLoadLimiter::makeRequest(const Zone &zone, FencingNumber fencing, LoadLimits wanted, TimePoint now)
{
    relinquishExcess(wanted, now);
    return {.zone = zone,
            .fencing = fencing,
            .wanted = wanted,
            .held = now < m_validUntil ? m_granted : LoadLimits{},
            .inFlight = m_inFlight,
            .received = m_stamp};
}

} // namespace tamarackcove
