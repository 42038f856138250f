#include "tamarackcove/Fleet/CrashAttribution.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace tamarackcove {

/// Interval at which old evidence is dropped.
static constexpr seconds EvidenceCheckInterval{1};

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

bool CrashAttribution::hasExpired(const Crash &crash, TimePoint now) const
{
    return std::min(timeOf(crash), crash.reportedAt) + m_options.crashLifetime < now;
}

void CrashAttribution::dropOldEvidence(TimePoint now)
{
    if (now < m_evidenceCheckedAt + EvidenceCheckInterval) {
        return;
    }
    m_evidenceCheckedAt = now;
    std::erase_if(m_crashes, [&](const auto &item) {
        const bool expired = hasExpired(item.second, now);
        m_suspectCount -= expired ? item.second.sentTimes.size() : 0;
        return expired;
    });
    const auto lifetime
        = m_answers.size() > m_options.maxAnswers ? m_options.crashLifetime / 2 : m_options.crashLifetime;
    std::erase_if(m_answers, [&](const auto &item) { return item.second.last + lifetime < now; });
}

void CrashAttribution::limitCrashes()
{
    while (m_crashes.size() > m_options.maxCrashes
           || (m_suspectCount > m_options.maxSuspects && m_crashes.size() > 1)) {
        // Silence is the weaker evidence, and under overload there is much of it.
        const auto dropped = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) {
            return std::tuple(a.second.countsSince.has_value(), a.second.reportedAt)
                < std::tuple(b.second.countsSince.has_value(), b.second.reportedAt);
        });
        m_suspectCount -= dropped->second.sentTimes.size();
        m_crashes.erase(dropped);
    }
}

CrashAttribution::Crash &CrashAttribution::crashOf(const ServerIdentity &server, TimePoint now)
{
    m_suspicions.reset();
    const auto [known, isNew] = m_crashes.try_emplace(server);
    if (isNew) {
        known->second.server = server;
        known->second.reportedAt = now;
    }
    return known->second;
}

bool CrashAttribution::hasEvidence(const ServerIdentity &server) const
{
    return m_crashes.contains(server);
}

void CrashAttribution::addSuspects(Crash &crash, const std::map<CrashSuspect, TimePoint> &sentTimes,
                                   const std::set<CrashSuspect> &sentAgain, const std::set<CrashSuspect> &begun)
{
    const auto before = crash.sentTimes.size();
    for (const auto &[suspect, sentAt] : sentTimes) {
        const bool again = sentAgain.contains(suspect);
        const auto known = crash.sentTimes.find(suspect);
        if (known != crash.sentTimes.end()) {
            // See mayExplain().
            known->second = crash.closedAt ? std::max(known->second, sentAt) : std::min(known->second, sentAt);
            if (!again) {
                crash.sentAgain.erase(suspect);
            }
        } else if (crash.sentTimes.size() < m_options.maxSuspectsPerCrash) {
            crash.sentTimes.emplace(suspect, sentAt);
            if (again) {
                crash.sentAgain.insert(suspect);
            }
        } else {
            continue;
        }
        if (begun.contains(suspect)) {
            crash.begun.insert(suspect);
        }
    }
    m_suspectCount += crash.sentTimes.size() - before;
}

void CrashAttribution::recordCrash(const ServerIdentity &server, TimePoint crashedAt,
                                   const std::map<CrashSuspect, TimePoint> &sentTimes, TimePoint now,
                                   const std::set<CrashSuspect> &sentAgain, const std::set<CrashSuspect> &begun)
{
    auto &crash = crashOf(server, now);
    crash.closedAt = std::min(crash.closedAt.value_or(crashedAt), crashedAt);
    crash.countsSince = std::max(*crash.closedAt, m_decisionsBeginAt);
    addSuspects(crash, sentTimes, sentAgain, begun);
    limitCrashes();
}

void CrashAttribution::recordSilence(const ServerIdentity &server, const Silence &silence, TimePoint now)
{
    auto &crash = crashOf(server, now);
    if (crash.silence) {
        crash.silence->firstSentAt = std::min(crash.silence->firstSentAt, silence.firstSentAt);
        crash.silence->lastHeardAt = std::max(crash.silence->lastHeardAt, silence.lastHeardAt);
    } else {
        crash.silence = Silence{.endpoint = silence.endpoint,
                                .firstSentAt = silence.firstSentAt,
                                .lastHeardAt = silence.lastHeardAt,
                                .sentTimes = {},
                                .sentAgain = {},
                                .begun = {}};
    }
    addSuspects(crash, silence.sentTimes, silence.sentAgain, silence.begun);
    limitCrashes();
}

void CrashAttribution::countEndedServers(TimePoint now)
{
    for (auto &[server, crash] : m_crashes) {
        if (!crash.countsSince && m_options.hasEnded && m_options.hasEnded(server, crash.silence->endpoint, now)) {
            crash.countsSince = now;
            m_suspicions.reset();
        }
    }
}

TimePoint CrashAttribution::timeOf(const Crash &crash) const
{
    if (crash.closedAt) {
        return *crash.closedAt;
    }
    const auto lastSign = std::max(crash.silence->firstSentAt, crash.silence->lastHeardAt.value_or(TimePoint::min()));
    return lastSign + m_options.silenceMargin;
}

bool CrashAttribution::mayExplain(const Crash &crash, TimePoint sentAt) const
{
    // The times of a closed connection and of its request are those of one entry.
    return crash.closedAt || sentAt <= timeOf(crash);
}

void CrashAttribution::recordAnswered(const CrashSuspect &suspect, TimePoint at, AnswerProgress progress)
{
    auto &answers = m_answers[suspect];
    const bool completes = progress == AnswerProgress::Complete && answers.lastComplete.value_or(TimePoint::min()) < at;
    if (answers.last >= at && !completes) {
        return;
    }
    answers.last = std::max(answers.last, at);
    if (completes) {
        answers.lastComplete = at;
    }
    if (m_suspicions && m_suspicions->contains(suspect)) {
        m_suspicions.reset();
    }
}

std::optional<TimePoint> CrashAttribution::lastCleared(const CrashSuspect &suspect) const
{
    const auto found = m_answers.find(suspect);
    if (found == m_answers.end()) {
        return std::nullopt;
    }
    return m_brokenOff.contains(suspect) ? found->second.lastComplete : found->second.last;
}

bool CrashAttribution::hasBegunSince(const CrashSuspect &suspect, TimePoint at) const
{
    const auto found = m_answers.find(suspect);
    return m_brokenOff.contains(suspect) && found != m_answers.end() && found->second.last >= at;
}

void CrashAttribution::recordAlive(const ServerIdentity &server, TimePoint now)
{
    const auto crash = m_crashes.find(server);
    if (crash == m_crashes.end() || now < timeOf(crash->second) + m_options.heartbeatDelay) {
        return;
    }
    m_suspicions.reset();
    const auto suspects = std::move(crash->second.sentTimes);
    m_suspectCount -= suspects.size();
    m_crashes.erase(crash);
    for (const auto &[suspect, sentAt] : suspects) {
        if (!m_convicted.contains(suspect)) {
            continue;
        }
        const auto remaining = std::count_if(m_crashes.begin(), m_crashes.end(), [id = suspect](const auto &item) {
            return item.second.countsSince && item.second.sentTimes.contains(id);
        });
        if (static_cast<std::size_t>(remaining) < requiredCrashes(suspect)) {
            m_convicted.erase(suspect);
            m_unrecorded.erase(suspect);
            m_acquitted.insert(suspect);
        }
    }
}

void CrashAttribution::setVerdicts(std::set<CrashSuspect> convicted, std::set<CrashSuspect> onProbation)
{
    for (const auto &suspect : onProbation) {
        if (m_onProbation.contains(suspect)) {
            continue;
        }
        // The crashes before the release have led to the quarantine that has ended.
        for (auto &[server, crash] : m_crashes) {
            m_suspectCount -= crash.sentTimes.erase(suspect);
            crash.begun.erase(suspect);
        }
    }
    m_suspicions.reset();
    std::erase_if(m_unrecorded, [&](const CrashSuspect &suspect) { return convicted.contains(suspect); });
    m_convicted = std::move(convicted);
    m_convicted.insert(m_unrecorded.begin(), m_unrecorded.end());
    m_onProbation = std::move(onProbation);
}

void CrashAttribution::forgetConviction(const CrashSuspect &suspect)
{
    if (m_unrecorded.erase(suspect) > 0) {
        m_convicted.erase(suspect);
    }
}

void CrashAttribution::beginDecisions(TimePoint at)
{
    m_decisionsBeginAt = at;
    m_suspicions.reset();
    for (auto &[server, crash] : m_crashes) {
        if (crash.countsSince) {
            crash.countsSince = std::max(*crash.countsSince, at);
        }
    }
    m_acquitted.clear();
    // Whether the log of an earlier leadership has got these is known from the verdicts.
    for (const auto &suspect : m_unrecorded) {
        m_convicted.erase(suspect);
    }
    m_unrecorded.clear();
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
