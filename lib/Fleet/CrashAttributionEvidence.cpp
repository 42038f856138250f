#include "tamarackcove/Fleet/CrashAttribution.h"

#include <algorithm>
#include <utility>

// What is recorded of crashes and answers; CrashAttribution.cpp has what follows from it.

namespace tamarackcove {

/// Interval at which old evidence is dropped.
static constexpr seconds EvidenceCheckInterval{1};

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

} // namespace tamarackcove
