#include "tamarackcove/Fleet/AllowanceShare.h"

#include "tamarackcove/Fleet/AllowanceTimes.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackcove {

/// What an entry keeps of its bucket when the leader answers again. The bursts of all entries without a leader together
/// are about twice the burst of the allowance.
static constexpr double KeptPart = 0.5;

static double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double AllowanceShare::rateIn(Mode mode) const
{
    switch (mode) {
    case Mode::Leased:
        return m_share.rate + (m_level < 0 ? m_share.overdraft / secondsOf(AllowanceTimes::OverdraftRecovery) : 0.0);
    case Mode::Standalone:
        return m_share.standaloneRate;
    case Mode::Expired:
        return m_share.fallbackRate;
    }
    return 0;
}

double AllowanceShare::burstIn(Mode mode) const
{
    switch (mode) {
    case Mode::Leased:
        return m_share.burst;
    case Mode::Standalone:
        return m_share.standaloneBurst;
    case Mode::Expired:
        // One second of the rate, as the bursts of allowances are about that.
        return m_share.fallbackRate;
    }
    return 0;
}

AllowanceShare::Mode AllowanceShare::mode(TimePoint now) const
{
    return now < m_standaloneFrom ? Mode::Leased : now < m_expiresAt ? Mode::Standalone : Mode::Expired;
}

void AllowanceShare::fill(Mode mode, Duration time)
{
    const auto burst = burstIn(mode);
    if (mode == Mode::Leased && m_level > burst) {
        const auto surplusPart = secondsOf(time) / secondsOf(AllowanceTimes::SurplusTime);
        m_level = std::max(m_level - surplusPart * KeptPart * m_share.standaloneBurst, burst);
    } else {
        m_level = std::min(m_level + rateIn(mode) * secondsOf(time), burst);
    }
}

void AllowanceShare::limitLevel(TimePoint now)
{
    const auto current = mode(now);
    const auto kept = current == Mode::Leased ? KeptPart * m_share.standaloneBurst : 0.0;
    m_level = std::min(m_level, std::max(burstIn(current), kept));
}

void AllowanceShare::refill(TimePoint now)
{
    // The rate changes at the ends of the modes.
    while (m_filledAt < now) {
        const auto current = mode(m_filledAt);
        const auto modeEnd = current == Mode::Leased ? std::min(m_standaloneFrom, now)
            : current == Mode::Standalone            ? std::min(m_expiresAt, now)
                                                     : now;
        fill(current, modeEnd - m_filledAt);
        m_filledAt = modeEnd;
    }
}

void AllowanceShare::setShare(const LeasedShare &share, TimePoint now)
{
    refill(now);
    m_share = share;
    limitLevel(now);
}

void AllowanceShare::renew(TimePoint reportMadeAt, TimePoint now)
{
    refill(now);
    m_standaloneFrom = reportMadeAt + AllowanceTimes::StandaloneDelay;
    m_expiresAt = reportMadeAt + AllowanceTimes::Validity;
    limitLevel(now);
}

void AllowanceShare::loseLeader(TimePoint now)
{
    refill(now);
    m_standaloneFrom = std::min(m_standaloneFrom, now);
}

bool AllowanceShare::take(double units, TimePoint now)
{
    refill(now);
    const auto allowedDebt = mode(now) == Mode::Leased ? 0.0 : m_share.overdraft;
    if (m_level + allowedDebt < units) {
        return false;
    }
    m_level -= units;
    m_use.usedUnits += units;
    return true;
}

bool AllowanceShare::takeOverdrawn(double units, TimePoint now)
{
    refill(now);
    if (m_level + m_share.overdraft < units) {
        return false;
    }
    m_level -= units;
    m_use.usedUnits += units;
    return true;
}

void AllowanceShare::useLease(double units)
{
    m_use.usedUnits += units;
}

std::optional<milliseconds> AllowanceShare::timeUntil(double units, TimePoint now)
{
    refill(now);
    const auto current = mode(now);
    const auto allowedDebt = current == Mode::Leased ? 0.0 : m_share.overdraft;
    const auto missing = units - allowedDebt - m_level;
    if (missing <= 0) {
        return milliseconds(0);
    }
    if (units > burstIn(current) + allowedDebt || rateIn(current) <= 0) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(missing / rateIn(current)));
}

void AllowanceShare::giveBack(double units, TimePoint now)
{
    refill(now);
    if (mode(now) == Mode::Leased) {
        m_use.returnedUnits += units;
    } else {
        m_level = std::min(m_level + units, burstIn(mode(now)));
    }
}

void AllowanceShare::noteRequest(double units)
{
    ++m_use.requests;
    m_use.requestedUnits += units;
}

std::optional<AllowanceReport::Use> AllowanceShare::takeReport()
{
    if (m_use.requests == 0 && m_use.usedUnits <= 0 && m_use.returnedUnits <= 0) {
        return std::nullopt;
    }
    return std::exchange(m_use, {});
}

const LeasedShare &AllowanceShare::share() const
{
    return m_share;
}

double AllowanceShare::level(TimePoint now)
{
    refill(now);
    return m_level;
}

} // namespace tamarackcove
