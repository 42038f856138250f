#include "tamarackcove/Gateway/CrashSuspectWatch.h"

#include "tamarackcove/Fleet/CrashAttribution.h"
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
    std::erase_if(m_answerNotedAt, [this](const auto &item) { return !m_watched.contains(item.first.first); });
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
    if (m_quarantined.empty() && m_ownQuarantine.empty()) {
        return nullptr;
    }
    const auto found = std::find_if(suspects.begin(), suspects.end(), [this](const CrashSuspect &suspect) {
        return m_quarantined.contains(suspect) || m_ownQuarantine.contains(suspect);
    });
    return found == suspects.end() ? nullptr : &*found;
}

std::size_t CrashSuspectWatch::quarantinedCount() const
{
    return m_quarantined.size();
}

bool CrashSuspectWatch::answeredLately(const CrashSuspect &suspect, TimePoint now) const
{
    const auto found = m_answers.find(suspect);
    return found != m_answers.end() && now < found->second.last + EvidenceLifetime;
}

void CrashSuspectWatch::forgetOldEvidence(TimePoint now)
{
    if (now < m_evidenceCheckedAt + CleanupInterval) {
        return;
    }
    m_evidenceCheckedAt = now;
    const auto lifetime = m_answers.size() > MaxAnswers ? EvidenceLifetime / 2 : EvidenceLifetime;
    std::erase_if(m_answers, [&](const auto &item) { return item.second.last + lifetime <= now; });
    std::erase_if(m_crashes, [&](const auto &crash) { return crash.recordedAt + EvidenceLifetime <= now; });
    std::erase_if(m_heardAt, [&](const auto &item) { return item.second + EvidenceLifetime <= now; });
    std::erase_if(m_ownQuarantine, [&](const auto &item) { return item.second <= now; });
}

CrashSuspectWatch::Crash &CrashSuspectWatch::crashOf(const ServerIdentity &server, TimePoint now)
{
    const auto known
        = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &item) { return item.server == server; });
    if (known != m_crashes.end()) {
        return *known;
    }
    if (m_crashes.size() == MaxCrashes) {
        // Silence is the weaker evidence, and under overload there is much of it.
        const auto silent
            = std::find_if(m_crashes.begin(), m_crashes.end(), [](const Crash &item) { return !item.closedAt; });
        m_crashes.erase(silent == m_crashes.end() ? m_crashes.begin() : silent);
    }
    m_crashes.push_back({.server = server, .recordedAt = now});
    return m_crashes.back();
}

void CrashSuspectWatch::addSuspects(Crash &crash, const std::vector<CrashSuspect> &suspects, const Sent &sent,
                                    TimePoint now)
{
    crash.change = ++m_changes;
    for (const auto &suspect : suspects) {
        const auto known = crash.suspects.find(suspect);
        if (known != crash.suspects.end()) {
            // What a silent server was sent once more, after it had ended, was there before it ended all the same.
            known->second
                = {.at = crash.closedAt ? std::max(known->second.at, sent.at) : std::min(known->second.at, sent.at),
                   .again = known->second.again && sent.again,
                   .begun = known->second.begun || sent.begun,
                   .change = crash.change};
        } else if (crash.suspects.size() < MaxSuspectsPerCrash) {
            auto added = sent;
            added.change = crash.change;
            crash.suspects.emplace(suspect, added);
        }
        if (answeredLately(suspect, now)) {
            m_answered.insert(suspect);
        }
    }
}

void CrashSuspectWatch::recordCrash(const ServerIdentity &server, const std::vector<CrashSuspect> &suspects,
                                    TimePoint sentAt, TimePoint now, bool again, bool begun)
{
    auto &crash = crashOf(server, now);
    const bool wasReported = crash.closedAt || crash.ended;
    crash.closedAt = crash.closedAt.value_or(now);
    addSuspects(crash, suspects, {.at = sentAt, .again = again, .begun = begun}, now);
    if (!wasReported) {
        renew(crash);
    }
    if (onNews) {
        onNews();
    }
}

void CrashSuspectWatch::recordSilence(const ServerIdentity &server, const Endpoint &endpoint,
                                      const std::vector<CrashSuspect> &suspects, TimePoint sentAt, TimePoint now,
                                      bool again, bool begun)
{
    auto &crash = crashOf(server, now);
    crash.endpoint = endpoint;
    crash.silentSince = std::min(crash.silentSince.value_or(sentAt), sentAt);
    addSuspects(crash, suspects, {.at = sentAt, .again = again, .begun = begun}, now);
}

void CrashSuspectWatch::recordAnswered(const ServerIdentity &server, const std::vector<CrashSuspect> &suspects,
                                       TimePoint now, AnswerProgress progress)
{
    forgetOldEvidence(now);
    m_heardAt[server] = now;
    // A server that answers has not crashed under the requests that were given up before.
    std::erase_if(m_crashes, [&](const Crash &crash) { return crash.server == server && !crash.closedAt; });
    bool news = false;
    for (const auto &suspect : suspects) {
        auto &answers = m_answers[suspect];
        answers.last = now;
        if (progress == AnswerProgress::Complete) {
            answers.lastComplete = now;
        }
        if (!m_watched.contains(suspect)) {
            continue;
        }
        auto &notedAt = m_answerNotedAt[{suspect, progress}];
        if (notedAt + AnswerInterval <= now) {
            notedAt = now;
            news = m_answered.insert(suspect).second || news;
        }
    }
    if (news && onNews) {
        onNews();
    }
}

std::optional<TimePoint> CrashSuspectWatch::lastHeard(const ServerIdentity &server) const
{
    const auto found = m_heardAt.find(server);
    return found == m_heardAt.end() ? std::nullopt : std::optional(found->second);
}

std::vector<CrashSuspect> CrashSuspectWatch::convict(TimePoint now) const
{
    // Nobody else can object.
    CrashAttribution crashes({.objectionTime = milliseconds(0), .hasEnded = hasEnded});
    for (const auto &crash : m_crashes) {
        std::map<CrashSuspect, TimePoint> sentTimes;
        std::set<CrashSuspect> sentAgain;
        std::set<CrashSuspect> begun;
        for (const auto &[suspect, sent] : crash.suspects) {
            sentTimes.emplace(suspect, sent.at);
            if (sent.again) {
                sentAgain.insert(suspect);
            }
            if (sent.begun) {
                begun.insert(suspect);
            }
            const auto answered = m_answers.find(suspect);
            if (answered == m_answers.end()) {
                continue;
            }
            crashes.recordAnswered(suspect, answered->second.last);
            if (const auto &complete = answered->second.lastComplete) {
                crashes.recordAnswered(suspect, *complete, AnswerProgress::Complete);
            }
        }
        if (crash.closedAt) {
            crashes.recordCrash(crash.server, *crash.closedAt, sentTimes, now, sentAgain, begun);
        } else {
            crashes.recordSilence(crash.server,
                                  {.endpoint = crash.endpoint,
                                   .firstSentAt = *crash.silentSince,
                                   .lastHeardAt = lastHeard(crash.server),
                                   .sentTimes = sentTimes,
                                   .sentAgain = sentAgain,
                                   .begun = begun},
                                  now);
        }
    }
    return crashes.takeConvicted(now);
}

void CrashSuspectWatch::decideWithoutLeader(bool leaderConnected, TimePoint now)
{
    if (std::exchange(m_leaderConnected, leaderConnected) != leaderConnected && leaderConnected) {
        for (auto &[suspect, until] : m_ownQuarantine) {
            until = std::min(until, now + LeaderDecisionTime);
        }
    }
    if (!m_ownQuarantine.empty()) {
        forgetOldEvidence(now);
    }
    if (leaderConnected || m_crashes.empty() || now < m_decidedAt + DecisionInterval) {
        return;
    }
    m_decidedAt = now;
    for (const auto &suspect : convict(now)) {
        const bool isNew = m_ownQuarantine.insert_or_assign(suspect, now + OwnQuarantineTime).second;
        if (isNew && !m_quarantined.contains(suspect)) {
            LogLine(LogLevel::Warning, "quarantined_without_leader").add("part", suspect.value());
        }
    }
}

void CrashSuspectWatch::renew(Crash &crash)
{
    crash.change = ++m_changes;
    for (auto &[suspect, sent] : crash.suspects) {
        sent.change = crash.change;
    }
}

void CrashSuspectWatch::setSilentServers(const std::vector<std::string> &silent)
{
    m_silentServers.clear();
    for (const auto &server : silent) {
        m_silentServers.emplace(server);
    }
    noteEndedServers();
}

void CrashSuspectWatch::noteEndedServers()
{
    bool news = false;
    for (auto &crash : m_crashes) {
        if (crash.closedAt || crash.ended
            || !(m_silentServers.contains(crash.server.id) || (isGone && isGone(crash.server)))) {
            continue;
        }
        crash.ended = true;
        renew(crash);
        news = true;
    }
    if (news && onNews) {
        onNews();
    }
}

std::uint64_t CrashSuspectWatch::addCrashes(FleetReportMessage &report, std::uint64_t since, TimePoint now,
                                            std::size_t maxItems)
{
    forgetOldEvidence(now);
    const auto isReported = [&](const Crash &crash) {
        return crash.change > since && (crash.closedAt || crash.ended);
    };
    // How much each change adds: the changes are those of one request, or of one server that has ended.
    std::map<std::uint64_t, std::size_t, std::greater<>> itemsOfChange;
    for (const auto &crash : m_crashes) {
        if (!isReported(crash)) {
            continue;
        }
        ++itemsOfChange[crash.change];
        for (const auto &[suspect, sent] : crash.suspects) {
            if (sent.change > since) {
                ++itemsOfChange[sent.change];
            }
        }
    }
    std::uint64_t oldest = since + 1;
    std::size_t items = 0;
    for (const auto &[change, count] : itemsOfChange) {
        if (items >= maxItems) {
            break;
        }
        items += count;
        oldest = change;
    }
    for (const auto &crash : m_crashes) {
        if (!isReported(crash) || crash.change < oldest) {
            continue;
        }
        CrashMessage message;
        message.server = crash.server.id.value();
        message.startedAt = crash.server.startedAt.value();
        message.endpoint = crash.endpoint.toString();
        if (crash.closedAt) {
            message.closed = true;
            message.agoMs = ageMs(*crash.closedAt, now);
        }
        if (crash.silentSince) {
            message.silent = true;
            message.firstSentAgoMs = ageMs(*crash.silentSince, now);
            if (const auto heardAt = lastHeard(crash.server)) {
                message.lastHeardAgoMs = ageMs(*heardAt, now);
            }
        }
        for (const auto &[suspect, sent] : crash.suspects) {
            if (sent.change >= oldest) {
                message.suspects.push_back({.suspect = suspect.value(),
                                            .agoMs = ageMs(sent.at, now),
                                            .again = sent.again,
                                            .begun = sent.begun});
            }
        }
        report.crashes.push_back(std::move(message));
    }
    return m_changes;
}

void CrashSuspectWatch::addAnswered(FleetReportMessage &report, bool toNewLeader, TimePoint now, std::size_t maxItems)
{
    if (toNewLeader) {
        for (const auto &crash : m_crashes) {
            for (const auto &[suspect, sent] : crash.suspects) {
                if (answeredLately(suspect, now)) {
                    m_answered.insert(suspect);
                }
            }
        }
    }
    // Goes on after the last one reported, so that suspects that are answered all the time do not keep others back.
    auto next = m_answered.upper_bound(m_lastAnswered);
    while (!m_answered.empty() && report.answeredSuspects.size() < maxItems) {
        if (next == m_answered.end()) {
            next = m_answered.begin();
        }
        m_lastAnswered = *next;
        next = m_answered.erase(next);
        if (const auto answered = m_answers.find(m_lastAnswered); answered != m_answers.end()) {
            const auto &[last, lastComplete] = answered->second;
            report.answeredSuspects.push_back({.suspect = m_lastAnswered.value(),
                                               .agoMs = ageMs(last, now),
                                               .completeAgoMs = lastComplete ? ageMs(*lastComplete, now) : -1});
        }
    }
}

} // namespace tamarackcove
