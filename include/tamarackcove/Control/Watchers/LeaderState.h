#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Control/Watchers/ZoneVotes.h"
#include "tamarackcove/Residency/StoreBudget.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace tamarackcove {

/// The in-memory state that only the control leader has: the store budget (the permits for adapter loads from the
/// store), the leases of zone votes and the reports of zone coordinators. This state is reset at the start of each
/// term.
///
/// Thread safety: used on one thread.
class LeaderState
{
public:
    struct ZoneReport
    {
        EntryId coordinator;
        FencingNumber fencing;
        TimePoint receivedAt;
        nlohmann::json targets;
    };

    explicit LeaderState(StoreBudget budget);

    /// Sets the term in which this process leads. Resets the leader state unless it already belongs to that term.
    void enterTerm(TimePoint now, std::uint64_t term);
    /// Leaves the term, because another process may lead now. The next enterTerm() resets the state.
    void leaveTerm();

    StoreBudget &budget();
    ZoneVotes &votes();
    /// Stores the report of a zone's coordinator, unless a coordinator with a higher fencing number has reported.
    void recordReport(const Zone &zone, ZoneReport report);
    [[nodiscard]] const std::map<Zone, ZoneReport> &reports() const;

private:
    std::optional<std::uint64_t> m_term;
    StoreBudget m_budget;
    ZoneVotes m_votes;
    std::map<Zone, ZoneReport> m_reports;
};

} // namespace tamarackcove
