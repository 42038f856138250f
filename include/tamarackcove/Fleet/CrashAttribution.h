#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/CrashSuspect.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tamarackcove {

/// Finds what crashes the servers that begin to answer it, from the requests that entries had at crashed servers and
/// from what was answered elsewhere. Suspects are the parts of prompts and whole requests that come again.
///
/// A suspect is convicted when it explains at least Options::minCrashes crashes since it was last answered, and no
/// other suspect of its kind explains as many. One that was answered before, such as a part that most requests share,
/// is convicted only if it is not answered any more for a while. Crashes that a convicted part explains count against
/// nothing else, and those that a convicted request explains count against no other request. A request explains a
/// crash only if it was sent after the one before: the crashes of many servers at one moment say nothing about the
/// requests that all of them had.
///
/// A server that is heard of after it has seemed to crash has not crashed. A suspect that is released after its
/// quarantine is on probation: one crash convicts it again.
///
/// Thread safety: used on one thread.
class CrashAttribution
{
public:
    struct Options
    {
        /// The smallest number of crashes for which a suspect is convicted.
        std::size_t minCrashes = 3;
        /// How many more crashes convict suspects that explain the same number of them: they come together in all
        /// requests so far.
        std::size_t tieCrashes = 2;
        /// Time from the second crash of a suspect to its conviction, in which entries can report that they have seen
        /// it answered.
        milliseconds objectionTime{60};
        /// Time from the crash that makes a suspect due to its conviction if it was answered before the crashes.
        milliseconds confirmationTime{250};
        /// How long after a crash a heartbeat of the server may still arrive that was sent before.
        milliseconds heartbeatDelay{1000};
        /// How long a crash counts.
        seconds crashLifetime{30};
        /// Largest numbers of crashes, of suspects in one crash, and of suspects in all crashes that are kept. They
        /// bound the time of an evaluation as well.
        std::size_t maxCrashes = 256;
        std::size_t maxSuspectsPerCrash = 512;
        std::size_t maxSuspects = 2048;
    };

    explicit CrashAttribution(Options options);

    /// Records a request that a start of a server has broken off before it began to answer: what is suspect in it and
    /// when it was sent. The requests of one start of a server count as one crash, at the earliest time reported.
    void recordCrash(const ServerIdentity &server, TimePoint crashedAt,
                     const std::map<CrashSuspect, TimePoint> &sentTimes, TimePoint now);
    /// Records that a server has begun to answer a request with the suspect at this time.
    void recordAnswered(const CrashSuspect &suspect, TimePoint at);
    /// Records a heartbeat of a start of a server. A crash of it before Options::heartbeatDelay does not count any
    /// more, and convictions that rest on it are withdrawn.
    void recordAlive(const ServerIdentity &server, TimePoint now);
    /// Sets the suspects that are convicted already, here or by an earlier leader, and those on probation.
    void setVerdicts(std::set<CrashSuspect> convicted, std::set<CrashSuspect> onProbation);
    /// Forgets everything except the verdicts.
    void clear();

    /// The suspects that may be convicted unless they are answered: entries report when that happens.
    [[nodiscard]] std::set<CrashSuspect> watched(TimePoint now) const;
    /// The suspects whose conviction is due now; they count as convicted from then on.
    [[nodiscard]] std::vector<CrashSuspect> takeConvicted(TimePoint now);
    /// The convicted suspects that too few crashes speak against any more; they do not count as convicted from then on.
    [[nodiscard]] std::vector<CrashSuspect> takeAcquitted();
    /// When takeConvicted() may next have a result without further records; nothing if never.
    [[nodiscard]] std::optional<TimePoint> nextDecisionAt(TimePoint now) const;

private:
    struct Crash
    {
        ServerIdentity server;
        TimePoint at;
        /// When the requests with the suspect were sent that were last sent.
        std::map<CrashSuspect, TimePoint> sentTimes;
    };
    /// What the crashes since the last answer say of a suspect.
    struct Suspicion
    {
        std::size_t crashes = 0;
        TimePoint lastCrashAt;
        TimePoint secondCrashAt;
        /// When the number of crashes reached requiredCrashes().
        TimePoint suspectAt;
        bool answeredBefore = false;
        bool onProbation = false;
    };
    enum class Kind {
        Parts,
        Requests,
    };

    void dropOldCrashes(TimePoint now);
    [[nodiscard]] std::size_t requiredCrashes(const CrashSuspect &suspect) const;
    /// Whether the crash counts against suspects of the kind: a convicted suspect does not explain it.
    [[nodiscard]] bool countsAgainst(Kind kind, const Crash &crash) const;
    [[nodiscard]] std::map<CrashSuspect, Suspicion> suspicions(TimePoint now) const;
    /// The suspects of the kind to convict next: those that explain the most crashes, if they may be convicted
    /// together.
    [[nodiscard]] std::vector<CrashSuspect> strongest(const std::map<CrashSuspect, Suspicion> &all, Kind kind) const;
    [[nodiscard]] TimePoint dueAt(const Suspicion &suspicion) const;

    Options m_options;
    /// Oldest report first.
    std::deque<Crash> m_crashes;
    /// Sum of the suspects of all crashes.
    std::size_t m_suspectCount = 0;
    /// When the suspects were last answered.
    std::map<CrashSuspect, TimePoint> m_answeredAt;
    std::set<CrashSuspect> m_convicted;
    std::set<CrashSuspect> m_onProbation;
    std::set<CrashSuspect> m_acquitted;
};

} // namespace tamarackcove
