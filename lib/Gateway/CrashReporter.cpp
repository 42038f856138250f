#include "tamarackcove/Gateway/CrashReporter.h"

#include "tamarackcove/Gateway/CrashSuspectWatch.h"
#include "tamarackcove/Wire/FleetMessages.h"

#include <algorithm>

namespace tamarackcove {

CrashReporter::CrashReporter(CrashSuspectWatch &watch)
    : m_watch(watch)
{
}

void CrashReporter::restart()
{
    m_reported = 0;
    m_first = true;
}

void CrashReporter::setEntries(std::size_t entries)
{
    m_crashes.setEntries(entries);
    m_answers.setEntries(entries);
}

void CrashReporter::noteNews(bool toLeader, TimePoint now)
{
    if (m_dueAt) {
        return;
    }
    const auto allowedAt
        = toLeader ? std::min(m_crashes.availableAt(now), m_answers.availableAt(now)) : m_crashes.availableAt(now);
    m_dueAt = std::max(allowedAt, m_reportedAt + (toLeader ? NewsInterval : IdleNewsInterval));
}

std::optional<TimePoint> CrashReporter::dueAt() const
{
    return m_dueAt;
}

void CrashReporter::addTo(FleetReportMessage &report, bool toLeader, TimePoint now)
{
    m_dueAt.reset();
    m_reportedAt = now;
    if (const auto available = m_crashes.available(now); available > 0) {
        m_reported = m_watch.addCrashes(report, m_reported, now, available);
        std::size_t items = report.crashes.size();
        for (const auto &crash : report.crashes) {
            items += crash.suspects.size();
        }
        m_crashes.use(items, now);
    }
    if (const auto available = m_answers.available(now); toLeader && available > 0) {
        m_watch.addAnswered(report, m_first, now, available);
        m_answers.use(report.answeredSuspects.size(), now);
        m_first = false;
    }
}

} // namespace tamarackcove
