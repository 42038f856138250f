#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/CrashSuspect.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

struct FleetReportMessage;

/// What an entry knows of the parts of prompts and the requests that crash servers: which are quarantined, and which
/// the leader watches. Collects for the next report the crashes that requests of this entry have met, and the watched
/// suspects that servers have answered. Keeps the crashes for as long as they count, since a new leader knows of none.
///
/// Thread safety: used on the thread of the executor.
class CrashSuspectWatch
{
public:
    /// How long a crash counts, and how long an answer shows that a suspect crashes no servers.
    static constexpr seconds EvidenceLifetime{30};
    /// Largest numbers of crashes, and of suspects in one crash, that are kept.
    static constexpr std::size_t MaxCrashes = 64;
    static constexpr std::size_t MaxSuspectsPerCrash = 256;
    /// Largest number of answers that are kept; beyond it, those of the older half of the lifetime are forgotten.
    static constexpr std::size_t MaxAnswers = 16 * 1024;

    /// Replaces the lists of the leader.
    void setLists(const std::vector<std::string> &watched, const std::vector<std::string> &quarantined, TimePoint now);
    /// The first of the suspects that is quarantined; null if none is.
    [[nodiscard]] const CrashSuspect *findQuarantined(const std::vector<CrashSuspect> &suspects) const;
    [[nodiscard]] std::size_t quarantinedCount() const;

    /// Records that a server has broken off a request with these suspects, sent at this time, before it began to
    /// answer.
    void recordCrash(const ServerIdentity &server, const std::vector<CrashSuspect> &suspects, TimePoint sentAt,
                     TimePoint now);
    /// Records that a server has begun to answer a request with these suspects.
    void recordAnswered(const std::vector<CrashSuspect> &suspects, TimePoint now);

    /// Moves what was recorded since the last call into a report; with `toNewLeader`, all crashes that still count.
    void addTo(FleetReportMessage &report, bool toNewLeader, TimePoint now);

    /// Called when a report should be sent soon.
    std::function<void()> onNews;

private:
    struct Crash
    {
        ServerIdentity server;
        TimePoint at;
        /// When the requests with the suspect were sent that were last sent.
        std::map<CrashSuspect, TimePoint> sentTimes;
        bool reported = false;
    };

    [[nodiscard]] bool answeredLately(const CrashSuspect &suspect, TimePoint now) const;
    void forgetOldEvidence(TimePoint now);

    std::set<CrashSuspect> m_watched;
    std::set<CrashSuspect> m_quarantined;
    /// When the suspects were last answered, for those of which that is not long ago.
    std::unordered_map<CrashSuspect, TimePoint> m_answeredAt;
    TimePoint m_evidenceCheckedAt;
    /// Oldest first.
    std::deque<Crash> m_crashes;
    /// The answered suspects of the next report.
    std::set<CrashSuspect> m_answered;
};

} // namespace tamarackcove
