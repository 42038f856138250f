#include "tamarackcove/Gateway/CrashSuspectWatch.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/FleetMessages.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

/// Interval at which old evidence is forgotten.
static constexpr seconds CleanupInterval{1};

static std::set<CrashSuspect> toSuspects(const std::vector<std::string> &names)
{
    std::set<CrashSuspect> suspects;
    for (const auto &name : names) {
        suspects.emplace(name);
    }
    return suspects;
}

static std::int64_t ageMs(TimePoint at, TimePoint now)
{
    return duration_cast<milliseconds>(now - at).count();
}

void CrashSuspectWatch::setLists(const std::vector<std::string> &watched, const std::vector<std::string> &quarantined,
                                 TimePoint now)
{
    auto newlyWatched = toSuspects(watched);
    bool news = false;
    for (const auto &suspect : newlyWatched) {
        if (!m_watched.contains(suspect) && answeredLately(suspect, now)) {
            m_answered.insert(suspect);
            news = true;
        }
    }
    m_watched = std::move(newlyWatched);
    auto newlyQuarantined = toSuspects(quarantined);
    for (const auto &suspect : newlyQuarantined) {
        if (!m_quarantined.contains(suspect)) {
            LogLine(LogLevel::Warning, isRequest(suspect) ? "crashing_request_quarantined" : "prompt_part_quarantined")
                .add("part", suspect.value());
        }
    }
    for (const auto &suspect : m_quarantined) {
        if (!newlyQuarantined.contains(suspect)) {
            LogLine(LogLevel::Info, isRequest(suspect) ? "crashing_request_released" : "prompt_part_released")
                .add("part", suspect.value());
        }
    }
    m_quarantined = std::move(newlyQuarantined);
    if (news && onNews) {
        onNews();
    }
}

const CrashSuspect *CrashSuspectWatch::findQuarantined(const std::vector<CrashSuspect> &suspects) const
{
    if (m_quarantined.empty()) {
        return nullptr;
    }
    const auto found = std::find_if(suspects.begin(), suspects.end(),
                                    [this](const CrashSuspect &suspect) { return m_quarantined.contains(suspect); });
    return found == suspects.end() ? nullptr : &*found;
}

std::size_t CrashSuspectWatch::quarantinedCount() const
{
    return m_quarantined.size();
}

bool CrashSuspectWatch::answeredLately(const CrashSuspect &suspect, TimePoint now) const
{
    const auto found = m_answeredAt.find(suspect);
    return found != m_answeredAt.end() && now < found->second + EvidenceLifetime;
}

void CrashSuspectWatch::forgetOldEvidence(TimePoint now)
{
    if (now < m_evidenceCheckedAt + CleanupInterval) {
        return;
    }
    m_evidenceCheckedAt = now;
    const auto lifetime = m_answeredAt.size() > MaxAnswers ? EvidenceLifetime / 2 : EvidenceLifetime;
    std::erase_if(m_answeredAt, [&](const auto &item) { return item.second + lifetime <= now; });
    std::erase_if(m_crashes, [&](const auto &crash) { return crash.at + EvidenceLifetime <= now; });
}

void CrashSuspectWatch::recordCrash(const ServerIdentity &server, const std::vector<CrashSuspect> &suspects,
                                    TimePoint sentAt, TimePoint now)
{
    auto crash
        = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &item) { return item.server == server; });
    if (crash == m_crashes.end()) {
        if (m_crashes.size() == MaxCrashes) {
            m_crashes.pop_front();
        }
        m_crashes.push_back({.server = server, .at = now, .sentTimes = {}});
        crash = std::prev(m_crashes.end());
    }
    crash->reported = false;
    for (const auto &suspect : suspects) {
        const auto known = crash->sentTimes.find(suspect);
        if (known != crash->sentTimes.end()) {
            known->second = std::max(known->second, sentAt);
        } else if (crash->sentTimes.size() < MaxSuspectsPerCrash) {
            crash->sentTimes.emplace(suspect, sentAt);
        }
        if (answeredLately(suspect, now)) {
            m_answered.insert(suspect);
        }
    }
    if (onNews) {
        onNews();
    }
}

void CrashSuspectWatch::recordAnswered(const std::vector<CrashSuspect> &suspects, TimePoint now)
{
    forgetOldEvidence(now);
    bool news = false;
    for (const auto &suspect : suspects) {
        m_answeredAt[suspect] = now;
        if (m_watched.contains(suspect)) {
            news = m_answered.insert(suspect).second || news;
        }
    }
    if (news && onNews) {
        onNews();
    }
}

void CrashSuspectWatch::addTo(FleetReportMessage &report, bool toNewLeader, TimePoint now)
{
    forgetOldEvidence(now);
    for (auto &crash : m_crashes) {
        if (std::exchange(crash.reported, true) && !toNewLeader) {
            continue;
        }
        CrashMessage message{.server = crash.server.id.value(),
                             .startedAt = crash.server.startedAt.value(),
                             .agoMs = ageMs(crash.at, now),
                             .suspects = {}};
        for (const auto &[suspect, sentAt] : crash.sentTimes) {
            message.suspects.push_back({.suspect = suspect.value(), .agoMs = ageMs(sentAt, now)});
            if (toNewLeader && answeredLately(suspect, now)) {
                m_answered.insert(suspect);
            }
        }
        report.crashes.push_back(std::move(message));
    }
    for (const auto &suspect : std::exchange(m_answered, {})) {
        if (const auto answered = m_answeredAt.find(suspect); answered != m_answeredAt.end()) {
            report.answeredSuspects.push_back({.suspect = suspect.value(), .agoMs = ageMs(answered->second, now)});
        }
    }
}

} // namespace tamarackcove
