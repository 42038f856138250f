#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/PromptPart.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tamarackcove {

/// Finds the parts of prompts that crash the servers that begin to answer them, from the requests that entries had at
/// crashed servers and the parts that were answered elsewhere.
///
/// A part is convicted when it explains at least Options::minCrashes crashes since it was last answered, and no other
/// part explains as many. A part that was answered before, such as one that most requests share, is convicted only if
/// it is not answered any more for a while. Crashes that a convicted part explains count against no other part.
///
/// Thread safety: used on one thread.
class CrashAttribution
{
public:
    struct Options
    {
        /// The smallest number of crashes for which a part is convicted.
        std::size_t minCrashes = 3;
        /// How many more crashes convict parts that explain the same number of them: they come together in all requests
        /// so far.
        std::size_t tieCrashes = 2;
        /// Time from the second crash of a part to its conviction, in which entries can report that they have seen it
        /// answered.
        milliseconds objectionTime{60};
        /// Time from the crash that makes a part suspect enough to its conviction if the part was answered before the
        /// crashes.
        milliseconds confirmationTime{250};
        /// How long a crash counts.
        seconds crashLifetime{30};
        /// Largest number of crashes, and of parts in one crash, that are kept.
        std::size_t maxCrashes = 256;
        std::size_t maxPartsPerCrash = 512;
    };

    explicit CrashAttribution(Options options);

    /// Records a request that a start of a server has broken off before it began to answer, with the parts of its
    /// prompt. The requests of one start of a server count as one crash.
    void recordCrash(const ServerIdentity &server, const std::vector<PromptPart> &parts, TimePoint now);
    /// Records that a server has begun to answer a request with the part.
    void recordAnswered(const PromptPart &part, TimePoint now);
    /// Sets the parts that are convicted already, here or by an earlier leader.
    void setConvicted(std::set<PromptPart> parts);
    /// Forgets everything except the convicted parts.
    void clear();

    /// The parts that may be convicted unless they are answered: entries report when that happens.
    [[nodiscard]] std::set<PromptPart> watched(TimePoint now) const;
    /// The parts whose conviction is due now; they count as convicted from then on.
    [[nodiscard]] std::vector<PromptPart> takeConvicted(TimePoint now);
    /// When takeConvicted() may next have a result without further records; nothing if never.
    [[nodiscard]] std::optional<TimePoint> nextDecisionAt(TimePoint now) const;

private:
    struct Crash
    {
        ServerIdentity server;
        TimePoint at;
        std::set<PromptPart> parts;
    };
    /// What the crashes since the last answer say of a part.
    struct Suspicion
    {
        std::size_t crashes = 0;
        TimePoint secondCrashAt;
        /// When the number of crashes reached Options::minCrashes.
        TimePoint suspectAt;
        bool answeredBefore = false;
    };

    [[nodiscard]] bool explained(const Crash &crash) const;
    [[nodiscard]] std::map<PromptPart, Suspicion> suspicions(TimePoint now) const;
    /// The parts to convict next: those that explain the most crashes, if they may be convicted together.
    [[nodiscard]] std::vector<PromptPart> strongest(const std::map<PromptPart, Suspicion> &all) const;
    [[nodiscard]] TimePoint dueAt(const Suspicion &suspicion) const;

    Options m_options;
    /// Oldest first.
    std::deque<Crash> m_crashes;
    /// When the parts in these crashes were last answered.
    std::map<PromptPart, TimePoint> m_answeredAt;
    std::set<PromptPart> m_convicted;
};

} // namespace tamarackcove
