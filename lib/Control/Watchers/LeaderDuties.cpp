#include "tamarackcove/Control/Watchers/LeaderDuties.h"

#include <utility>

namespace tamarackcove {

LeaderDuties::LeaderDuties(StoreBudget budget)
    : m_budget(std::move(budget))
{
}

void LeaderDuties::enterTerm(TimePoint now, std::uint64_t term)
{
    if (m_term == term) {
        return;
    }
    m_term = term;
    m_budget.beginTerm(now, term);
    m_votes.beginTerm(now);
    m_reports.clear();
}

void LeaderDuties::leaveTerm()
{
    m_term.reset();
}

StoreBudget &LeaderDuties::budget()
{
    return m_budget;
}

ZoneVotes &LeaderDuties::votes()
{
    return m_votes;
}

void LeaderDuties::report(const Zone &zone, ZoneReport report)
{
    const auto found = m_reports.find(zone);
    if (found == m_reports.end() || found->second.fencing <= report.fencing) {
        m_reports[zone] = std::move(report);
    }
}

const std::map<Zone, LeaderDuties::ZoneReport> &LeaderDuties::reports() const
{
    return m_reports;
}

} // namespace tamarackcove
