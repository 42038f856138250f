#include "tamarackcove/Fleet/PlannedStop.h"

#include <algorithm>

namespace tamarackcove {

PlannedStop::PlannedStop(TimePoint startedAt, milliseconds gracePeriod)
    : PlannedStop(startedAt, gracePeriod, Options())
{
}

PlannedStop::PlannedStop(TimePoint startedAt, milliseconds gracePeriod, Options options)
{
    constexpr milliseconds None{0};
    const auto exitTime = std::max(gracePeriod - options.exitMargin, None);
    const auto answerTime = std::max(exitTime - options.finalAnswerTime, None);
    const auto closeTime
        = std::clamp(answerTime - options.lastRequestTime, None, std::max(options.balancerNoticeTime, None));
    m_exitsAt = startedAt + exitTime;
    m_answersDueAt = startedAt + answerTime;
    m_closesAt = startedAt + closeTime;
}

TimePoint PlannedStop::closesAt() const
{
    return m_closesAt;
}

TimePoint PlannedStop::answersDueAt() const
{
    return m_answersDueAt;
}

TimePoint PlannedStop::exitsAt() const
{
    return m_exitsAt;
}

bool PlannedStop::mayPassOn(TimePoint deadline) const
{
    return deadline <= m_answersDueAt;
}

} // namespace tamarackcove
