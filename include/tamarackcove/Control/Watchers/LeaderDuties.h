#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Control/Watchers/ZoneVotes.h"
#include "tamarackcove/Residency/StoreBudget.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace tamarackcove {

/// What only the control leader keeps, in memory: the store budget, the leases of zone votes and the reports of zone
/// coordinators. It starts anew with each term.
///
/// Thread safety: used on one thread.
class LeaderDuties
{
public:
    struct ZoneReport
    {
        EntryId coordinator;
        FencingNumber fencing;
        TimePoint receivedAt;
        nlohmann::json targets;
    };

    explicit LeaderDuties(StoreBudget budget);

    /// Notes the term in which this process leads; a new one begins all duties anew.
    void enterTerm(TimePoint now, std::uint64_t term);
    /// Another process may lead now.
    void leaveTerm();

    StoreBudget &budget();
    ZoneVotes &votes();
    /// Keeps the report unless a later coordinator of the zone has reported.
    void report(const Zone &zone, ZoneReport report);
    [[nodiscard]] const std::map<Zone, ZoneReport> &reports() const;

private:
    std::optional<std::uint64_t> m_term;
    StoreBudget m_budget;
    ZoneVotes m_votes;
    std::map<Zone, ZoneReport> m_reports;
};

} // namespace tamarackcove
