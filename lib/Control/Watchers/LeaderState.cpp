#include "tamarackcove/Control/Watchers/LeaderState.h"

#include <utility>

namespace tamarackcove {

LeaderState::LeaderState(StoreBudget budget)
    : m_budget(std::move(budget))
{
}

void LeaderState::enterTerm(TimePoint now, std::uint64_t term)
{
    if (m_term == term) {
        return;
    }
    m_term = term;
    m_budget.beginTerm(now, term);
    m_votes.beginTerm(now);
    m_reports.clear();
}

void LeaderState::leaveTerm()
{
    m_term.reset();
}

StoreBudget &LeaderState::budget()
{
    return m_budget;
}

ZoneVotes &LeaderState::votes()
{
    return m_votes;
}

void LeaderState::recordReport(const Zone &zone, ZoneReport report)
{
    const auto found = m_reports.find(zone);
    if (found == m_reports.end() || found->second.fencing <= report.fencing) {
        m_reports[zone] = std::move(report);
    }
}

const std::map<Zone, LeaderState::ZoneReport> &LeaderState::reports() const
{
    return m_reports;
}

} // namespace tamarackcove
