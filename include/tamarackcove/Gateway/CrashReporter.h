#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Gateway/EvidenceAllowance.h"

#include <cstdint>
#include <optional>

namespace tamarackcove {

class CrashSuspectWatch;
struct FleetReportMessage;

/// What one control host has been told of the crashes and answers that an entry has met, and when it may be told more.
/// What is new is told at once if there was little before, and otherwise with the regular reports, the newest first,
/// within the two allowances.
///
/// Thread safety: used on one thread.
class CrashReporter
{
public:
    /// Shortest time between two reports that are sent because of news, to the leader and to the other control hosts.
    static constexpr milliseconds NewsInterval{40};
    static constexpr milliseconds IdleNewsInterval{200};

    /// Precondition: the watch outlives this object.
    explicit CrashReporter(CrashSuspectWatch &watch);

    /// Begins again with all crashes that still count. Called for a new connection, and when the host becomes leader.
    void restart();
    /// Sets how many entries report to the host.
    void setEntries(std::size_t entries);
    /// Has a report become due, as there is news.
    void noteNews(bool toLeader, TimePoint now);
    /// When the report that noteNews() asked for is due; nothing after addTo(), and before any news.
    [[nodiscard]] std::optional<TimePoint> dueAt() const;
    /// Adds to a report what the host may be told now. Answers go only to the leader.
    void addTo(FleetReportMessage &report, bool toLeader, TimePoint now);

private:
    CrashSuspectWatch &m_watch;
    /// Up to which change the crashes were reported; see CrashSuspectWatch::addCrashes().
    std::uint64_t m_reported = 0;
    /// Whether the next report is the first one since restart().
    bool m_first = true;
    EvidenceAllowance m_crashes;
    EvidenceAllowance m_answers;
    std::optional<TimePoint> m_dueAt;
    TimePoint m_reportedAt;
};

} // namespace tamarackcove
