#include "tamarackcove/Membership/ReleaseRound.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

ReleaseRound::ReleaseRound(Options options, TimePoint now)
    : m_options(std::move(options))
    , m_startedAt(now)
{
}

void ReleaseRound::onAnswer(const EntryId &entry, bool released)
{
    if (!m_options.entries.contains(entry)) {
        return;
    }
    if (released) {
        m_releasedBy.insert(entry);
    } else {
        m_usedByAnEntry = true;
    }
}

void ReleaseRound::setViewLeaseEnd(const EntryId &entry, TimePoint end)
{
    m_viewLeaseEnds[entry] = end;
}

void ReleaseRound::recordEngineState(TimePoint askedAt, int running)
{
    if (running == 0) {
        m_lastIdleStateAskedAt = std::max(m_lastIdleStateAskedAt, askedAt);
    }
}

std::set<EntryId> ReleaseRound::silentEntries(TimePoint now) const
{
    std::set<EntryId> silent;
    if (now - m_startedAt >= m_options.answerTimeout) {
        std::set_difference(m_options.entries.begin(), m_options.entries.end(), m_releasedBy.begin(),
                            m_releasedBy.end(), std::inserter(silent, silent.end()));
    }
    return silent;
}

TimePoint ReleaseRound::lastSilentLeaseEnd(TimePoint now) const
{
    TimePoint latest = TimePoint::min();
    for (const auto &entry : silentEntries(now)) {
        const auto end = m_viewLeaseEnds.find(entry);
        latest = std::max(latest, end == m_viewLeaseEnds.end() ? TimePoint::max() : end->second);
    }
    return latest;
}

ReleaseState ReleaseRound::state(TimePoint now) const
{
    if (m_usedByAnEntry) {
        return ReleaseState::Refused;
    }
    if (m_releasedBy.size() == m_options.entries.size()) {
        return ReleaseState::MayEvict;
    }
    if (now - m_startedAt > m_options.roundTimeout) {
        return ReleaseState::Refused;
    }
    if (now - m_startedAt < m_options.answerTimeout) {
        return ReleaseState::Waiting;
    }
    if (m_releasedBy.size() < m_options.minReleases) {
        return ReleaseState::Refused;
    }
    const auto end = lastSilentLeaseEnd(now);
    if (now <= end) {
        return ReleaseState::Waiting;
    }
    return m_lastIdleStateAskedAt > end ? ReleaseState::MayEvict : ReleaseState::NeedsEngineState;
}

} // namespace tamarackcove
