#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/PromptPart.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

struct FleetReportMessage;

/// What an entry knows of the parts of prompts: which are quarantined because they crash servers, and which the leader
/// watches. Collects for the next report the crashes that requests of this entry have met, and the watched parts that
/// servers have answered.
///
/// Thread safety: used on the thread of the executor.
class PromptPartWatch
{
public:
    /// Replaces the lists of the leader.
    void setLists(const std::vector<std::string> &watched, const std::vector<std::string> &quarantined, TimePoint now);
    /// The first of the parts that is quarantined; null if none is.
    [[nodiscard]] const PromptPart *findQuarantined(const std::vector<PromptPart> &parts) const;
    [[nodiscard]] std::size_t quarantinedCount() const;

    /// Records that a server has broken off a request with these parts before it began to answer.
    void recordCrash(const ServerIdentity &server, const std::vector<PromptPart> &parts, TimePoint now);
    /// Records that a server has begun to answer a request with these parts.
    void recordAnswered(const std::vector<PromptPart> &parts, TimePoint now);

    /// Moves what was recorded since the last call into a report.
    void addTo(FleetReportMessage &report);

    /// Called when a report should be sent soon.
    std::function<void()> onNews;

private:
    [[nodiscard]] bool answeredLately(const PromptPart &part, TimePoint now) const;
    void forgetOldAnswers(TimePoint now);

    std::set<PromptPart> m_watched;
    std::set<PromptPart> m_quarantined;
    /// When the parts were last answered, for those of which that is not long ago.
    std::unordered_map<PromptPart, TimePoint> m_answeredAt;
    TimePoint m_answersCheckedAt;
    std::map<ServerIdentity, std::set<PromptPart>> m_crashes;
    std::set<PromptPart> m_answered;
};

} // namespace tamarackcove
