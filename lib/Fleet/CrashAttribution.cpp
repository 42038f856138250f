#include "tamarackcove/Fleet/CrashAttribution.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace tamarackcove {

/// The order in which suspects are convicted: those that stand for equal requests go before those that do not.
static constexpr std::array Kinds{SuspectKind::Part, SuspectKind::Request, SuspectKind::RequestBody,
                                  SuspectKind::RequestPath};

/// Whether requests that are not equal have suspects of this kind in common.
static bool standsForDifferentRequests(SuspectKind kind)
{
    return kind > SuspectKind::Request;
}

CrashAttribution::CrashAttribution(Options options)
    : m_options(std::move(options))
{
}

std::size_t CrashAttribution::requiredCrashes(const CrashSuspect &suspect) const
{
    if (m_onProbation.contains(suspect)) {
        return 1;
    }
    return m_options.minCrashes + (standsForDifferentRequests(kindOf(suspect)) ? m_options.tieCrashes : 0);
}

bool CrashAttribution::countsAgainst(SuspectKind kind, const Crash &crash, const Suspicions &all) const
{
    const auto explains = [&](const CrashSuspect &suspect) {
        const auto other = kindOf(suspect);
        if (m_convicted.contains(suspect)) {
            return kind != SuspectKind::Part || other == SuspectKind::Part;
        }
        // Before a suspect that stands for fewer requests is due, it may still turn out to explain its crashes.
        const auto suspicion = all.find(suspect);
        return standsForDifferentRequests(kind) && other != SuspectKind::Part && other < kind && suspicion != all.end()
            && suspicion->second.attempts > 1;
    };
    return std::none_of(crash.sentTimes.begin(), crash.sentTimes.end(),
                        [&](const auto &item) { return explains(item.first); });
}

const CrashAttribution::Suspicions &CrashAttribution::suspicions(TimePoint now)
{
    if (!m_suspicions || now > m_suspicionsHoldUntil) {
        m_suspicions = findSuspicions(now);
    }
    return *m_suspicions;
}

CrashAttribution::Suspicions CrashAttribution::findSuspicions(TimePoint now)
{
    m_suspicionsHoldUntil = TimePoint::max();
    m_brokenOff.clear();
    std::vector<const Crash *> counted;
    for (const auto &[server, crash] : m_crashes) {
        if (crash.countsSince && !hasExpired(crash, now)) {
            counted.push_back(&crash);
            m_brokenOff.insert(crash.begun.begin(), crash.begun.end());
            m_suspicionsHoldUntil
                = std::min(m_suspicionsHoldUntil, std::min(timeOf(crash), crash.reportedAt) + m_options.crashLifetime);
        }
    }
    std::stable_sort(counted.begin(), counted.end(),
                     [this](const Crash *a, const Crash *b) { return timeOf(*a) < timeOf(*b); });
    std::set<SuspectKind> present;
    for (const auto *crash : counted) {
        for (const auto &[suspect, sentAt] : crash->sentTimes) {
            present.insert(kindOf(suspect));
        }
    }
    Suspicions all;
    for (const auto kind : present) {
        Suspicions ofKind;
        std::vector<const Crash *> moment;
        std::vector<TimePoint> times;
        for (const auto *crash : counted) {
            if (!countsAgainst(kind, *crash, all)) {
                continue;
            }
            times.push_back(timeOf(*crash));
            const bool together = kind == SuspectKind::Part && !moment.empty()
                && timeOf(*crash) < timeOf(*moment.front()) + m_options.momentLength;
            if (!together) {
                countMoment(kind, moment, ofKind);
                moment.clear();
            }
            moment.push_back(crash);
        }
        countMoment(kind, moment, ofKind);
        for (auto &[suspect, suspicion] : ofKind) {
            const auto first = std::lower_bound(times.begin(), times.end(), suspicion.firstMetAt - m_options.doubtSpan);
            // A part that was answered before is more likely to be at a crashed server by chance.
            const auto around = static_cast<std::size_t>(times.end() - first);
            suspicion.amongMany = kind == SuspectKind::Part
                && (suspicion.answeredBefore ? 3 * suspicion.met < 2 * around : 2 * suspicion.met < around);
            if (kind == SuspectKind::Part && hasBegunSince(suspect, suspicion.firstMetAt)) {
                // Answers to requests with the part may be under way that will clear it.
                suspicion.answeredBefore = true;
                suspicion.amongMany = true;
            }
        }
        all.merge(ofKind);
    }
    return all;
}

void CrashAttribution::countMoment(SuspectKind kind, const std::vector<const Crash *> &moment, Suspicions &ofKind)
{
    struct Explained
    {
        const Crash *crash;
        TimePoint sentAt;
    };
    std::map<CrashSuspect, std::vector<Explained>> explainedBy;
    for (const auto *crash : moment) {
        m_visits += crash->sentTimes.size();
        for (const auto &[suspect, sentAt] : crash->sentTimes) {
            if (kindOf(suspect) != kind || !mayExplain(*crash, sentAt)) {
                continue;
            }
            const auto clearedAt = lastCleared(suspect);
            auto &suspicion = ofKind[suspect];
            suspicion.onProbation = m_onProbation.contains(suspect);
            suspicion.answeredBefore = clearedAt.has_value();
            if (!clearedAt || *clearedAt < timeOf(*crash)) {
                explainedBy[suspect].push_back({.crash = crash, .sentAt = sentAt});
            }
        }
    }
    for (const auto &[suspect, explained] : explainedBy) {
        auto &suspicion = ofKind[suspect];
        const bool byChance = 2 * explained.size() < moment.size();
        if (suspicion.met == 0) {
            suspicion.firstMetAt = timeOf(*explained.front().crash);
        }
        suspicion.met += explained.size();
        for (const auto &[crash, sentAt] : explained) {
            if (kind != SuspectKind::Part && suspicion.crashes > 0 && sentAt < suspicion.lastCrashAt) {
                continue;
            }
            ++suspicion.crashes;
            suspicion.attempts += crash->sentAgain.contains(suspect) ? 0 : 1;
            suspicion.lastCrashAt = timeOf(*crash);
            suspicion.countsSince = std::max(suspicion.countsSince, *crash->countsSince);
            if (suspicion.crashes == 2) {
                suspicion.secondCrashAt = suspicion.countsSince;
            }
            if (suspicion.crashes == requiredCrashes(suspect)) {
                suspicion.suspectAt = suspicion.countsSince;
            }
            if (byChance) {
                break;
            }
        }
    }
}

TimePoint CrashAttribution::dueAt(const Suspicion &suspicion) const
{
    const auto objected = suspicion.secondCrashAt + m_options.objectionTime;
    milliseconds confirmation{0};
    if (suspicion.answeredBefore) {
        confirmation = suspicion.amongMany ? m_options.doubtTime : m_options.confirmationTime;
    } else if (suspicion.amongMany) {
        confirmation = m_options.confirmationTime;
    }
    return std::max(objected, suspicion.suspectAt + confirmation);
}

std::vector<CrashSuspect> CrashAttribution::strongest(const Suspicions &all, SuspectKind kind) const
{
    // A suspect that was never answered goes before one that was, whatever their numbers: many sound requests share the
    // latter, so that they are in most crashes.
    using Rank = std::tuple<bool, bool, std::size_t>;
    std::vector<CrashSuspect> best;
    Rank bestRank;
    for (const auto &[suspect, suspicion] : all) {
        const auto required
            = requiredCrashes(suspect) + (suspicion.amongMany && suspicion.answeredBefore ? m_options.tieCrashes : 0);
        if (kindOf(suspect) != kind || suspicion.crashes < required) {
            continue;
        }
        const Rank rank(suspicion.onProbation, !suspicion.answeredBefore, suspicion.crashes);
        if (rank > bestRank) {
            best.clear();
            bestRank = rank;
        }
        if (rank == bestRank) {
            best.push_back(suspect);
        }
    }
    const auto &[onProbation, neverAnswered, crashes] = bestRank;
    if (best.size() > 1 && !onProbation && crashes < requiredCrashes(best.front()) + m_options.tieCrashes) {
        best.clear();
    }
    return best;
}

TimePoint CrashAttribution::nextEvaluationAt() const
{
    const auto visits = static_cast<std::int64_t>(m_visits - m_visitsBefore);
    const auto pause
        = std::chrono::microseconds(seconds(1)) * visits / static_cast<std::int64_t>(m_options.maxVisitsPerSecond);
    return m_evaluatedAt + std::max<Duration>(pause, m_options.evaluationInterval);
}

std::set<CrashSuspect> CrashAttribution::watched(TimePoint now)
{
    std::vector<std::pair<std::size_t, const CrashSuspect *>> suspected;
    for (const auto &[suspect, suspicion] : suspicions(now)) {
        if (suspicion.crashes >= 2) {
            suspected.emplace_back(suspicion.crashes, &suspect);
        }
    }
    const auto count = std::min(suspected.size(), m_options.maxWatched);
    std::partial_sort(suspected.begin(), suspected.begin() + static_cast<std::ptrdiff_t>(count), suspected.end(),
                      [](const auto &a, const auto &b) { return a.first > b.first; });
    std::set<CrashSuspect> suspects;
    for (std::size_t i = 0; i < count; ++i) {
        suspects.insert(*suspected[i].second);
    }
    return suspects;
}

std::vector<CrashSuspect> CrashAttribution::takeConvicted(TimePoint now)
{
    m_evaluatedAt = now;
    m_visitsBefore = m_visits;
    std::vector<CrashSuspect> convicted;
    dropOldEvidence(now);
    countEndedServers(now);
    for (const auto kind : Kinds) {
        for (;;) {
            const auto &all = suspicions(now);
            const auto suspects = strongest(all, kind);
            if (suspects.empty() || std::any_of(suspects.begin(), suspects.end(), [&](const auto &suspect) {
                    return dueAt(all.at(suspect)) > now;
                })) {
                break;
            }
            m_convicted.insert(suspects.begin(), suspects.end());
            m_unrecorded.insert(suspects.begin(), suspects.end());
            convicted.insert(convicted.end(), suspects.begin(), suspects.end());
            m_suspicions.reset();
        }
    }
    return convicted;
}

std::vector<CrashSuspect> CrashAttribution::takeAcquitted()
{
    const auto acquitted = std::exchange(m_acquitted, {});
    return {acquitted.begin(), acquitted.end()};
}

std::optional<TimePoint> CrashAttribution::nextDecisionAt(TimePoint now)
{
    const auto &all = suspicions(now);
    std::optional<TimePoint> next;
    for (const auto kind : Kinds) {
        std::optional<TimePoint> due;
        for (const auto &suspect : strongest(all, kind)) {
            due = std::max(due.value_or(now), dueAt(all.at(suspect)));
        }
        if (due) {
            next = std::min(next.value_or(*due), *due);
        }
    }
    const bool awaitsEnd = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &item) {
        return !item.second.countsSince && !hasExpired(item.second, now);
    });
    if (awaitsEnd) {
        const auto checkAt = now + m_options.silenceCheckInterval;
        next = std::min(next.value_or(checkAt), checkAt);
    }
    return next;
}

std::uint64_t CrashAttribution::visits() const
{
    return m_visits;
}

} // namespace tamarackcove
