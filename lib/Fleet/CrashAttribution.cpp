#include "tamarackcove/Fleet/CrashAttribution.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tamarackcove {

CrashAttribution::CrashAttribution(Options options)
    : m_options(options)
{
}

void CrashAttribution::dropOldCrashes(TimePoint now)
{
    while (!m_crashes.empty()
           && (m_crashes.front().at + m_options.crashLifetime < now || m_crashes.size() > m_options.maxCrashes
               || (m_suspectCount > m_options.maxSuspects && m_crashes.size() > 1))) {
        m_suspectCount -= m_crashes.front().sentTimes.size();
        m_crashes.pop_front();
    }
    std::erase_if(m_answeredAt, [&](const auto &item) { return item.second + m_options.crashLifetime < now; });
}

void CrashAttribution::recordCrash(const ServerIdentity &server, TimePoint crashedAt,
                                   const std::map<CrashSuspect, TimePoint> &sentTimes, TimePoint now)
{
    auto crash
        = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &item) { return item.server == server; });
    if (crash == m_crashes.end()) {
        m_crashes.push_back({.server = server, .at = crashedAt, .sentTimes = {}});
        crash = std::prev(m_crashes.end());
    }
    crash->at = std::min(crash->at, crashedAt);
    for (const auto &[suspect, sentAt] : sentTimes) {
        const auto known = crash->sentTimes.find(suspect);
        if (known != crash->sentTimes.end()) {
            known->second = std::max(known->second, sentAt);
        } else if (crash->sentTimes.size() < m_options.maxSuspectsPerCrash) {
            crash->sentTimes.emplace(suspect, sentAt);
            ++m_suspectCount;
        }
    }
    dropOldCrashes(now);
}

void CrashAttribution::recordAnswered(const CrashSuspect &suspect, TimePoint at)
{
    auto &answeredAt = m_answeredAt[suspect];
    answeredAt = std::max(answeredAt, at);
}

void CrashAttribution::recordAlive(const ServerIdentity &server, TimePoint now)
{
    const auto crash
        = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &item) { return item.server == server; });
    if (crash == m_crashes.end() || now < crash->at + m_options.heartbeatDelay) {
        return;
    }
    const auto suspects = std::move(crash->sentTimes);
    m_suspectCount -= suspects.size();
    m_crashes.erase(crash);
    for (const auto &[suspect, sentAt] : suspects) {
        const auto remaining = std::count_if(m_crashes.begin(), m_crashes.end(),
                                             [id = suspect](const Crash &item) { return item.sentTimes.contains(id); });
        if (m_convicted.contains(suspect) && static_cast<std::size_t>(remaining) < requiredCrashes(suspect)) {
            m_convicted.erase(suspect);
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
        for (auto &crash : m_crashes) {
            m_suspectCount -= crash.sentTimes.erase(suspect);
        }
    }
    m_convicted = std::move(convicted);
    m_onProbation = std::move(onProbation);
}

void CrashAttribution::clear()
{
    m_crashes.clear();
    m_suspectCount = 0;
    m_answeredAt.clear();
    m_acquitted.clear();
}

std::size_t CrashAttribution::requiredCrashes(const CrashSuspect &suspect) const
{
    return m_onProbation.contains(suspect) ? 1 : m_options.minCrashes;
}

bool CrashAttribution::countsAgainst(Kind kind, const Crash &crash) const
{
    return std::none_of(m_convicted.begin(), m_convicted.end(), [&](const CrashSuspect &suspect) {
        return (kind == Kind::Requests || !isRequest(suspect)) && crash.sentTimes.contains(suspect);
    });
}

std::map<CrashSuspect, CrashAttribution::Suspicion> CrashAttribution::suspicions(TimePoint now) const
{
    std::map<CrashSuspect, Suspicion> all;
    for (const auto &crash : m_crashes) {
        if (crash.at + m_options.crashLifetime < now) {
            continue;
        }
        const bool countsAgainstParts = countsAgainst(Kind::Parts, crash);
        const bool countsAgainstRequests = countsAgainst(Kind::Requests, crash);
        for (const auto &[suspect, sentAt] : crash.sentTimes) {
            const bool request = isRequest(suspect);
            if (request ? !countsAgainstRequests : !countsAgainstParts) {
                continue;
            }
            const auto answered = m_answeredAt.find(suspect);
            auto &suspicion = all[suspect];
            suspicion.onProbation = m_onProbation.contains(suspect);
            suspicion.answeredBefore = answered != m_answeredAt.end();
            const bool answeredSince = suspicion.answeredBefore && answered->second >= crash.at;
            const bool repeated = !request || suspicion.crashes == 0 || sentAt >= suspicion.lastCrashAt;
            if (answeredSince || !repeated) {
                continue;
            }
            ++suspicion.crashes;
            suspicion.lastCrashAt = crash.at;
            if (suspicion.crashes == 2) {
                suspicion.secondCrashAt = crash.at;
            }
            if (suspicion.crashes == requiredCrashes(suspect)) {
                suspicion.suspectAt = crash.at;
            }
        }
    }
    return all;
}

TimePoint CrashAttribution::dueAt(const Suspicion &suspicion) const
{
    const auto objected = suspicion.secondCrashAt + m_options.objectionTime;
    return suspicion.answeredBefore ? std::max(objected, suspicion.suspectAt + m_options.confirmationTime)
                                    : std::max(objected, suspicion.suspectAt);
}

std::vector<CrashSuspect> CrashAttribution::strongest(const std::map<CrashSuspect, Suspicion> &all, Kind kind) const
{
    // A suspect that was never answered goes before one that was, whatever their numbers: many sound requests share the
    // latter, so that they are in most crashes.
    using Rank = std::tuple<bool, bool, std::size_t>;
    std::vector<CrashSuspect> best;
    Rank bestRank;
    for (const auto &[suspect, suspicion] : all) {
        const bool ofKind = isRequest(suspect) == (kind == Kind::Requests);
        if (!ofKind || suspicion.crashes < requiredCrashes(suspect)) {
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
    if (best.size() > 1 && !onProbation && crashes < m_options.minCrashes + m_options.tieCrashes) {
        best.clear();
    }
    return best;
}

std::set<CrashSuspect> CrashAttribution::watched(TimePoint now) const
{
    std::set<CrashSuspect> suspects;
    for (const auto &[suspect, suspicion] : suspicions(now)) {
        if (suspicion.crashes >= 2) {
            suspects.insert(suspect);
        }
    }
    return suspects;
}

std::vector<CrashSuspect> CrashAttribution::takeConvicted(TimePoint now)
{
    std::vector<CrashSuspect> convicted;
    auto all = suspicions(now);
    for (const auto kind : {Kind::Parts, Kind::Requests}) {
        for (;;) {
            const auto suspects = strongest(all, kind);
            if (suspects.empty() || std::any_of(suspects.begin(), suspects.end(), [&](const auto &suspect) {
                    return dueAt(all.at(suspect)) > now;
                })) {
                break;
            }
            m_convicted.insert(suspects.begin(), suspects.end());
            convicted.insert(convicted.end(), suspects.begin(), suspects.end());
            all = suspicions(now);
        }
    }
    return convicted;
}

std::vector<CrashSuspect> CrashAttribution::takeAcquitted()
{
    const auto acquitted = std::exchange(m_acquitted, {});
    return {acquitted.begin(), acquitted.end()};
}

std::optional<TimePoint> CrashAttribution::nextDecisionAt(TimePoint now) const
{
    const auto all = suspicions(now);
    std::optional<TimePoint> next;
    for (const auto kind : {Kind::Parts, Kind::Requests}) {
        std::optional<TimePoint> due;
        for (const auto &suspect : strongest(all, kind)) {
            due = std::max(due.value_or(now), dueAt(all.at(suspect)));
        }
        if (due) {
            next = std::min(next.value_or(*due), *due);
        }
    }
    return next;
}

} // namespace tamarackcove
