#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/CrashSuspect.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarackcove {

struct FleetReportMessage;

/// What an entry knows of the parts of prompts and the requests that crash servers: which are quarantined, and which
/// the leader watches. Collects for the reports the crashes that requests of this entry have met, and the watched
/// suspects that servers have answered. Keeps the crashes for as long as they count, since a new leader may know of
/// none. While no leader is connected, decides itself, by its own crashes, what to refuse.
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
    /// Shortest interval between two decisions without a leader.
    static constexpr milliseconds DecisionInterval{20};
    /// How long what this entry has quarantined itself is refused: without a leader, and after one is connected again,
    /// which needs the reports of the entries first.
    static constexpr seconds OwnQuarantineTime{300};
    static constexpr seconds LeaderDecisionTime{2};
    /// Shortest time between two reports that a suspect was answered.
    static constexpr milliseconds AnswerInterval{200};
    /// No limit on the items of a report.
    static constexpr std::size_t Unlimited = SIZE_MAX;

    /// Replaces the lists of the leader.
    void setLists(const std::vector<std::string> &watched, const std::vector<std::string> &quarantined, TimePoint now);
    /// The first of the suspects that is quarantined; null if none is.
    [[nodiscard]] const CrashSuspect *findQuarantined(const std::vector<CrashSuspect> &suspects) const;
    [[nodiscard]] std::size_t quarantinedCount() const;

    /// Records that a server has closed the connection of a request with these suspects, sent at this time, before it
    /// had answered it in full. `again` says that this attempt of the caller had been sent to another server before,
    /// `begun` that the server had begun to answer it.
    void recordCrash(const ServerIdentity &server, const std::vector<CrashSuspect> &suspects, TimePoint sentAt,
                     TimePoint now, bool again = false, bool begun = false);
    /// Records that a server has not answered such a request in full until now, on an open connection.
    void recordSilence(const ServerIdentity &server, const Endpoint &endpoint,
                       const std::vector<CrashSuspect> &suspects, TimePoint sentAt, TimePoint now, bool again = false,
                       bool begun = false);
    /// Records how far a server has answered a request with these suspects; without suspects, that it was heard of.
    void recordAnswered(const ServerIdentity &server, const std::vector<CrashSuspect> &suspects, TimePoint now,
                        AnswerProgress progress = AnswerProgress::Begun);

    /// Quarantines what has crashed servers by the crashes that this entry has met, if no leader is connected. Called
    /// before a request is checked with findQuarantined().
    void decideWithoutLeader(bool leaderConnected, TimePoint now);

    /// Sets the servers whose heartbeats have stopped, as far as the leader knows.
    void setSilentServers(const std::vector<std::string> &silent);
    /// Makes the servers that have fallen silent and that have ended part of the next reports. Called when the known
    /// servers have changed.
    void noteEndedServers();
    /// Adds the crashes to a report that have changed after `since`, a result of an earlier call, or all for 0. Returns
    /// the time of the newest change, as a number for the next call. Servers that have fallen silent are added once
    /// they have ended. Crashes and suspects are passed over, the oldest first, if there are more than `maxItems`; what
    /// was in one request stays together, and may exceed that number.
    std::uint64_t addCrashes(FleetReportMessage &report, std::uint64_t since, TimePoint now,
                             std::size_t maxItems = Unlimited);
    /// Moves the answered suspects that are to be reported to the leader into a report; with `toNewLeader`, of all
    /// crashes. If there are more than `maxItems`, the others remain for the next reports.
    void addAnswered(FleetReportMessage &report, bool toNewLeader, TimePoint now, std::size_t maxItems = Unlimited);

    /// Called when a report should be sent soon.
    std::function<void()> onNews;
    /// Whether this start of a server has been removed or replaced, as far as the leader has said.
    std::function<bool(const ServerIdentity &)> isGone;
    /// Whether a server that has fallen silent has ended, as far as this entry can tell.
    std::function<bool(const ServerIdentity &, const Endpoint &, TimePoint now)> hasEnded;

private:
    struct Sent
    {
        /// When the request with the suspect was sent that was last sent; the one that was first sent if the server has
        /// only fallen silent.
        TimePoint at;
        /// Whether each of them had been sent to another server before.
        bool again = false;
        /// Whether the server had begun to answer one of them.
        bool begun = false;
        std::uint64_t change = 0;
    };
    /// When a suspect was last answered.
    struct Answers
    {
        TimePoint last;
        std::optional<TimePoint> lastComplete;
    };
    struct Crash
    {
        ServerIdentity server;
        Endpoint endpoint;
        std::optional<TimePoint> closedAt;
        /// When the first request was sent that the server has not answered.
        std::optional<TimePoint> silentSince;
        TimePoint recordedAt;
        std::map<CrashSuspect, Sent> suspects;
        std::uint64_t change = 0;
        /// Whether a server that has only fallen silent has ended.
        bool ended = false;
    };

    Crash &crashOf(const ServerIdentity &server, TimePoint now);
    void addSuspects(Crash &crash, const std::vector<CrashSuspect> &suspects, const Sent &sent, TimePoint now);
    /// Makes all that is known of a crash part of the next reports.
    void renew(Crash &crash);
    [[nodiscard]] std::optional<TimePoint> lastHeard(const ServerIdentity &server) const;
    [[nodiscard]] bool answeredLately(const CrashSuspect &suspect, TimePoint now) const;
    /// What the crashes of this entry convict.
    [[nodiscard]] std::vector<CrashSuspect> convict(TimePoint now) const;
    void forgetOldEvidence(TimePoint now);

    std::set<CrashSuspect> m_watched;
    std::set<CrashSuspect> m_quarantined;
    /// What this entry has quarantined itself, and until when.
    std::map<CrashSuspect, TimePoint> m_ownQuarantine;
    bool m_leaderConnected = false;
    TimePoint m_decidedAt;
    /// Of the suspects that were answered not long ago.
    std::unordered_map<CrashSuspect, Answers> m_answers;
    /// When the servers were last heard of, for those of which that is not long ago.
    std::map<ServerIdentity, TimePoint> m_heardAt;
    TimePoint m_evidenceCheckedAt;
    /// Oldest first.
    std::deque<Crash> m_crashes;
    /// Number of changes of the crashes.
    std::uint64_t m_changes = 0;
    /// The answered suspects of the next report, and the last one of the report before.
    std::set<CrashSuspect> m_answered;
    CrashSuspect m_lastAnswered;
    /// When it was last noted that a watched suspect was answered so far.
    std::map<std::pair<CrashSuspect, AnswerProgress>, TimePoint> m_answerNotedAt;
    /// The servers whose heartbeats have stopped.
    std::set<TargetId> m_silentServers;
};

} // namespace tamarackcove
