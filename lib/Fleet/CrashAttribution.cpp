#include "tamarackcove/Fleet/CrashAttribution.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

CrashAttribution::CrashAttribution(Options options)
    : m_options(options)
{
}

void CrashAttribution::recordCrash(const ServerIdentity &server, const std::vector<PromptPart> &parts, TimePoint now)
{
    while (!m_crashes.empty()
           && (m_crashes.front().at + m_options.crashLifetime < now || m_crashes.size() > m_options.maxCrashes)) {
        m_crashes.pop_front();
    }
    std::erase_if(m_answeredAt, [&](const auto &item) { return item.second + m_options.crashLifetime < now; });
    auto crash
        = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &item) { return item.server == server; });
    if (crash == m_crashes.end()) {
        m_crashes.push_back({.server = server, .at = now, .parts = {}});
        crash = std::prev(m_crashes.end());
    }
    for (const auto &part : parts) {
        if (crash->parts.size() < m_options.maxPartsPerCrash) {
            crash->parts.insert(part);
        }
    }
}

void CrashAttribution::recordAnswered(const PromptPart &part, TimePoint now)
{
    m_answeredAt[part] = now;
}

void CrashAttribution::setConvicted(std::set<PromptPart> parts)
{
    m_convicted = std::move(parts);
}

void CrashAttribution::clear()
{
    m_crashes.clear();
    m_answeredAt.clear();
}

bool CrashAttribution::explained(const Crash &crash) const
{
    return std::any_of(m_convicted.begin(), m_convicted.end(),
                       [&](const PromptPart &part) { return crash.parts.contains(part); });
}

std::map<PromptPart, CrashAttribution::Suspicion> CrashAttribution::suspicions(TimePoint now) const
{
    std::map<PromptPart, Suspicion> all;
    for (const auto &crash : m_crashes) {
        if (crash.at + m_options.crashLifetime < now || explained(crash)) {
            continue;
        }
        for (const auto &part : crash.parts) {
            const auto answered = m_answeredAt.find(part);
            auto &suspicion = all[part];
            suspicion.answeredBefore = answered != m_answeredAt.end();
            if (suspicion.answeredBefore && answered->second >= crash.at) {
                continue;
            }
            ++suspicion.crashes;
            if (suspicion.crashes == 2) {
                suspicion.secondCrashAt = crash.at;
            }
            if (suspicion.crashes == m_options.minCrashes) {
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

std::vector<PromptPart> CrashAttribution::strongest(const std::map<PromptPart, Suspicion> &all) const
{
    // A part that was never answered goes before one that was, whatever their numbers: many sound requests share the
    // latter, so that they are in most crashes.
    std::vector<PromptPart> best;
    std::pair<bool, std::size_t> bestRank{false, 0};
    for (const auto &[part, suspicion] : all) {
        if (suspicion.crashes < m_options.minCrashes) {
            continue;
        }
        const std::pair rank(!suspicion.answeredBefore, suspicion.crashes);
        if (rank > bestRank) {
            best.clear();
            bestRank = rank;
        }
        if (rank == bestRank) {
            best.push_back(part);
        }
    }
    if (best.size() > 1 && bestRank.second < m_options.minCrashes + m_options.tieCrashes) {
        best.clear();
    }
    return best;
}

std::set<PromptPart> CrashAttribution::watched(TimePoint now) const
{
    std::set<PromptPart> parts;
    for (const auto &[part, suspicion] : suspicions(now)) {
        if (suspicion.crashes >= 2) {
            parts.insert(part);
        }
    }
    return parts;
}

std::vector<PromptPart> CrashAttribution::takeConvicted(TimePoint now)
{
    std::vector<PromptPart> convicted;
    for (;;) {
        const auto all = suspicions(now);
        auto parts = strongest(all);
        if (parts.empty()
            || std::any_of(parts.begin(), parts.end(), [&](const auto &part) { return dueAt(all.at(part)) > now; })) {
            return convicted;
        }
        m_convicted.insert(parts.begin(), parts.end());
        convicted.insert(convicted.end(), parts.begin(), parts.end());
    }
}

std::optional<TimePoint> CrashAttribution::nextDecisionAt(TimePoint now) const
{
    const auto all = suspicions(now);
    std::optional<TimePoint> next;
    for (const auto &part : strongest(all)) {
        next = std::max(next.value_or(now), dueAt(all.at(part)));
    }
    return next;
}

} // namespace tamarackcove
