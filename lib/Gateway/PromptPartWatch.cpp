#include "tamarackcove/Gateway/PromptPartWatch.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/FleetMessages.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

/// How long an answer shows that a part crashes no servers.
static constexpr seconds AnswerLifetime{10};
/// Interval at which older answers are forgotten.
static constexpr seconds CleanupInterval{1};

static std::set<PromptPart> toParts(const std::vector<std::string> &names)
{
    std::set<PromptPart> parts;
    for (const auto &name : names) {
        parts.emplace(name);
    }
    return parts;
}

void PromptPartWatch::setLists(const std::vector<std::string> &watched, const std::vector<std::string> &quarantined,
                               TimePoint now)
{
    auto newlyWatched = toParts(watched);
    bool news = false;
    for (const auto &part : newlyWatched) {
        if (!m_watched.contains(part) && answeredLately(part, now)) {
            m_answered.insert(part);
            news = true;
        }
    }
    m_watched = std::move(newlyWatched);
    auto newlyQuarantined = toParts(quarantined);
    for (const auto &part : newlyQuarantined) {
        if (!m_quarantined.contains(part)) {
            LogLine(LogLevel::Warning, "prompt_part_quarantined").add("part", part.value());
        }
    }
    m_quarantined = std::move(newlyQuarantined);
    if (news && onNews) {
        onNews();
    }
}

const PromptPart *PromptPartWatch::findQuarantined(const std::vector<PromptPart> &parts) const
{
    if (m_quarantined.empty()) {
        return nullptr;
    }
    const auto found = std::find_if(parts.begin(), parts.end(),
                                    [this](const PromptPart &part) { return m_quarantined.contains(part); });
    return found == parts.end() ? nullptr : &*found;
}

std::size_t PromptPartWatch::quarantinedCount() const
{
    return m_quarantined.size();
}

bool PromptPartWatch::answeredLately(const PromptPart &part, TimePoint now) const
{
    const auto found = m_answeredAt.find(part);
    return found != m_answeredAt.end() && now < found->second + AnswerLifetime;
}

void PromptPartWatch::forgetOldAnswers(TimePoint now)
{
    if (now < m_answersCheckedAt + CleanupInterval) {
        return;
    }
    m_answersCheckedAt = now;
    std::erase_if(m_answeredAt, [now](const auto &item) { return item.second + AnswerLifetime <= now; });
}

void PromptPartWatch::recordCrash(const ServerIdentity &server, const std::vector<PromptPart> &parts, TimePoint now)
{
    if (parts.empty()) {
        return;
    }
    m_crashes[server].insert(parts.begin(), parts.end());
    for (const auto &part : parts) {
        if (answeredLately(part, now)) {
            m_answered.insert(part);
        }
    }
    if (onNews) {
        onNews();
    }
}

void PromptPartWatch::recordAnswered(const std::vector<PromptPart> &parts, TimePoint now)
{
    forgetOldAnswers(now);
    bool news = false;
    for (const auto &part : parts) {
        m_answeredAt[part] = now;
        if (m_watched.contains(part)) {
            news = m_answered.insert(part).second || news;
        }
    }
    if (news && onNews) {
        onNews();
    }
}

void PromptPartWatch::addTo(FleetReportMessage &report)
{
    for (const auto &[server, parts] : std::exchange(m_crashes, {})) {
        CrashMessage crash{.server = server.id.value(), .startedAt = server.startedAt.value(), .parts = {}};
        for (const auto &part : parts) {
            crash.parts.push_back(part.value());
        }
        report.crashes.push_back(std::move(crash));
    }
    for (const auto &part : std::exchange(m_answered, {})) {
        report.answeredParts.push_back(part.value());
    }
}

} // namespace tamarackcove
