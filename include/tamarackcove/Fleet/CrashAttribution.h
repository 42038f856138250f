#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/CrashSuspect.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <cstddef>
#include <cstdint>
#include <functional>
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
/// A server that leaves requests without an answer, and whose connections stay open, has crashed if it has also ended
/// as far as is known. It may have crashed shortly after its last sign of life, and only what was sent to it until then
/// explains that.
///
/// A server that has begun to answer a request may still crash under it. Once it has, what is suspect in the request is
/// cleared only by answers that are complete. A part to which other answers have begun since then is convicted like one
/// that is in few of the crashes, so that they have time to end.
///
/// Requests that differ in adapter, prompt or body are convicted together, by what they share, if their crashes are
/// more than one request explains. That takes further crashes, as sound requests may share it.
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
        /// How many more crashes convict suspects that explain the same number of them, as they come together in all
        /// requests so far, suspects that stand for requests that are not equal, and those that were answered before
        /// and are in fewer than two thirds of the crashes; see doubtTime.
        std::size_t tieCrashes = 2;
        /// Time from the second crash of a suspect to its conviction, in which entries can report that they have seen
        /// it answered.
        milliseconds objectionTime{60};
        /// Time from the crash that makes a suspect due to its conviction if it was answered before the crashes.
        milliseconds confirmationTime{250};
        /// Crashes that begin within this time of the first one are of one moment. A part that is in fewer than half of
        /// them counts as having met one, as the parts of sound requests are in some of many by chance.
        milliseconds momentLength{100};
        /// Time from the crash that makes a part due to its conviction if it was answered before and is in fewer than
        /// two thirds of the crashes since doubtSpan before the first that it has met. Parts of sound requests are
        /// answered elsewhere within this time. A part that was never answered is convicted after confirmationTime if
        /// it is in fewer than half of them.
        milliseconds doubtTime{2000};
        milliseconds doubtSpan{1000};
        /// How long after a crash a heartbeat of the server may still arrive that was sent before.
        milliseconds heartbeatDelay{1000};
        /// How long after its last sign of life a server that has fallen silent may have crashed.
        milliseconds silenceMargin{100};
        /// Interval between two checks whether a server that has fallen silent has ended.
        milliseconds silenceCheckInterval{200};
        /// Whether this start of a server, which was at this address, has ended as far as is known. Servers that have
        /// fallen silent do not count as crashed without it.
        std::function<bool(const ServerIdentity &, const Endpoint &, TimePoint now)> hasEnded;
        /// How long a crash counts.
        seconds crashLifetime{30};
        /// Largest numbers of crashes, of suspects in one crash, of suspects in all crashes, and of answered suspects
        /// that are kept. They bound the time of an evaluation as well.
        std::size_t maxCrashes = 256;
        std::size_t maxSuspectsPerCrash = 512;
        std::size_t maxSuspects = 2048;
        std::size_t maxAnswers = 4096;
        /// Largest number of watched suspects.
        std::size_t maxWatched = 64;
        /// Shortest time between two evaluations, and the largest number of suspects that evaluations visit in a
        /// second; see nextEvaluationAt().
        milliseconds evaluationInterval{20};
        std::uint64_t maxVisitsPerSecond = 40000;
    };

    /// What an entry knows of a start of a server that has not answered some of its requests.
    struct Silence
    {
        Endpoint endpoint;
        /// When the first of these requests was sent.
        TimePoint firstSentAt;
        /// When the entry last received anything from the server; absent if it never did.
        std::optional<TimePoint> lastHeardAt;
        /// What is suspect in these requests, and when it was last sent.
        std::map<CrashSuspect, TimePoint> sentTimes;
        /// The suspects that were only in requests which had been sent to another server before, in the same attempt of
        /// their callers.
        std::set<CrashSuspect> sentAgain;
        /// The suspects in those requests that the server had begun to answer.
        std::set<CrashSuspect> begun;
    };

    explicit CrashAttribution(Options options);

    /// Records a request that a start of a server has broken off: what is suspect in it and when it was sent. The
    /// requests of one start of a server count as one crash, at the earliest time reported. `sentAgain` and `begun` are
    /// as in Silence.
    void recordCrash(const ServerIdentity &server, TimePoint crashedAt,
                     const std::map<CrashSuspect, TimePoint> &sentTimes, TimePoint now,
                     const std::set<CrashSuspect> &sentAgain = {}, const std::set<CrashSuspect> &begun = {});
    /// Records requests that a start of a server has not answered, although their connections are open. They count as a
    /// crash from the time on at which Options::hasEnded says that the server has ended.
    void recordSilence(const ServerIdentity &server, const Silence &silence, TimePoint now);
    /// Records that a server has begun or completed the answer to a request with the suspect at this time.
    void recordAnswered(const CrashSuspect &suspect, TimePoint at, AnswerProgress progress = AnswerProgress::Begun);
    /// Records a heartbeat of a start of a server. A crash of it before Options::heartbeatDelay does not count any
    /// more, and convictions that rest on it are withdrawn.
    void recordAlive(const ServerIdentity &server, TimePoint now);
    /// Sets the suspects whose conviction is recorded, here or by an earlier leader, and those on probation. Those that
    /// takeConvicted() has returned since then stay convicted.
    void setVerdicts(std::set<CrashSuspect> convicted, std::set<CrashSuspect> onProbation);
    /// Called when the conviction of a suspect could not be recorded: takeConvicted() may return it again.
    void forgetConviction(const CrashSuspect &suspect);
    /// Has the crashes so far decided on as if they were reported at this time, so that entries have time to object to
    /// those of which another host has heard.
    void beginDecisions(TimePoint at);

    /// When the evidence may be evaluated next, by takeConvicted() and the functions that follow it, so that
    /// evaluations keep within Options::maxVisitsPerSecond.
    [[nodiscard]] TimePoint nextEvaluationAt() const;
    /// Whether a crash of this start of a server, or its silence, is recorded.
    [[nodiscard]] bool hasEvidence(const ServerIdentity &server) const;
    /// The suspects that may be convicted unless they are answered: entries report when that happens. Those that
    /// explain the most crashes if there are more than Options::maxWatched.
    [[nodiscard]] std::set<CrashSuspect> watched(TimePoint now);
    /// Counts the servers that have fallen silent and ended as crashed, and returns the suspects whose conviction is
    /// due now; they count as convicted from then on.
    [[nodiscard]] std::vector<CrashSuspect> takeConvicted(TimePoint now);
    /// The convicted suspects that too few crashes speak against any more; they do not count as convicted from then on.
    [[nodiscard]] std::vector<CrashSuspect> takeAcquitted();
    /// When takeConvicted() may next have a result without further records; nothing if never.
    [[nodiscard]] std::optional<TimePoint> nextDecisionAt(TimePoint now);
    /// How many suspects of crashes were visited since the construction to find whom the crashes speak against: what
    /// evaluations cost.
    [[nodiscard]] std::uint64_t visits() const;

private:
    struct Crash
    {
        ServerIdentity server;
        /// When the server closed the first connection of a request; absent if it has only fallen silent.
        std::optional<TimePoint> closedAt;
        /// The requests that it has not answered, from all entries; absent if there are none.
        std::optional<Silence> silence;
        /// When the crash was first reported, and since when it counts. The latter is absent while the server has only
        /// fallen silent.
        TimePoint reportedAt;
        std::optional<TimePoint> countsSince;
        /// When the requests with the suspect were sent that were last sent; those that were first sent if the server
        /// has only fallen silent.
        std::map<CrashSuspect, TimePoint> sentTimes;
        std::set<CrashSuspect> sentAgain;
        std::set<CrashSuspect> begun;
    };
    /// When a suspect was last answered.
    struct Answers
    {
        TimePoint last;
        std::optional<TimePoint> lastComplete;
    };
    /// What the crashes since the last answer say of a suspect.
    struct Suspicion
    {
        std::size_t crashes = 0;
        /// In how many of them the suspect was in a first attempt of a caller.
        std::size_t attempts = 0;
        /// How many crashes it may explain, whether they count or not, and the time of the first of them.
        std::size_t met = 0;
        TimePoint firstMetAt;
        /// Whether it is in too few of the crashes, or answers to it have begun; see Options::doubtTime.
        bool amongMany = false;
        TimePoint lastCrashAt;
        /// Since when all of them count, the first two, and as many as requiredCrashes().
        TimePoint countsSince;
        TimePoint secondCrashAt;
        TimePoint suspectAt;
        bool answeredBefore = false;
        bool onProbation = false;
    };
    using Suspicions = std::map<CrashSuspect, Suspicion>;

    Crash &crashOf(const ServerIdentity &server, TimePoint now);
    void addSuspects(Crash &crash, const std::map<CrashSuspect, TimePoint> &sentTimes,
                     const std::set<CrashSuspect> &sentAgain, const std::set<CrashSuspect> &begun);
    /// When the suspect was last answered, as far as that clears it; nothing if it was not.
    [[nodiscard]] std::optional<TimePoint> lastCleared(const CrashSuspect &suspect) const;
    /// Whether a server has ended in the middle of an answer to the suspect, and another one has begun one since then.
    [[nodiscard]] bool hasBegunSince(const CrashSuspect &suspect, TimePoint at) const;
    void countEndedServers(TimePoint now);
    void dropOldEvidence(TimePoint now);
    /// Drops the crashes that are too many.
    void limitCrashes();
    [[nodiscard]] bool hasExpired(const Crash &crash, TimePoint now) const;
    /// When the server has crashed, as far as is known.
    [[nodiscard]] TimePoint timeOf(const Crash &crash) const;
    /// Whether the suspect was at the server before it crashed.
    [[nodiscard]] bool mayExplain(const Crash &crash, TimePoint sentAt) const;
    [[nodiscard]] std::size_t requiredCrashes(const CrashSuspect &suspect) const;
    /// Whether the crash counts against suspects of the kind: neither a convicted suspect nor, for a kind of requests
    /// that are not equal, one that stands for fewer requests explains it.
    [[nodiscard]] bool countsAgainst(SuspectKind kind, const Crash &crash, const Suspicions &all) const;
    /// What the crashes say of each suspect. Computed again only after the evidence has changed.
    [[nodiscard]] const Suspicions &suspicions(TimePoint now);
    [[nodiscard]] Suspicions findSuspicions(TimePoint now);
    /// Counts the crashes of one moment, in order of time, for the suspects of a kind.
    void countMoment(SuspectKind kind, const std::vector<const Crash *> &moment, Suspicions &ofKind);
    /// The suspects of the kind to convict next: those that explain the most crashes, if they may be convicted
    /// together.
    [[nodiscard]] std::vector<CrashSuspect> strongest(const Suspicions &all, SuspectKind kind) const;
    [[nodiscard]] TimePoint dueAt(const Suspicion &suspicion) const;

    Options m_options;
    TimePoint m_decisionsBeginAt;
    std::map<ServerIdentity, Crash> m_crashes;
    /// Number of suspects in all crashes.
    std::size_t m_suspectCount = 0;
    std::map<CrashSuspect, Answers> m_answers;
    /// The suspects that servers had begun to answer when they crashed, as of the last evaluation.
    std::set<CrashSuspect> m_brokenOff;
    std::set<CrashSuspect> m_convicted;
    /// Those of the convicted suspects that setVerdicts() has not named yet.
    std::set<CrashSuspect> m_unrecorded;
    std::set<CrashSuspect> m_onProbation;
    std::set<CrashSuspect> m_acquitted;
    /// The result of the last evaluation and until when it holds; absent if the evidence has changed since.
    std::optional<Suspicions> m_suspicions;
    TimePoint m_suspicionsHoldUntil;
    /// When the evidence was last evaluated, and visits() before that.
    TimePoint m_evaluatedAt;
    std::uint64_t m_visitsBefore = 0;
    TimePoint m_evidenceCheckedAt;
    /// See visits().
    std::uint64_t m_visits = 0;
};

} // namespace tamarackcove
