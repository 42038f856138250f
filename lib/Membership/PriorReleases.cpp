#include "tamarackcove/Membership/PriorReleases.h"

namespace tamarackcove {

std::size_t releaseQuorum(std::size_t entries)
{
    return entries / 2 + 1;
}

void PriorReleases::startCandidacy(FencingNumber number)
{
    m_number = number;
    m_votersWithAllReleases.clear();
    m_released.clear();
}

void PriorReleases::addVoterReleases(FencingNumber number, const EntryId &voter, bool complete,
                                     const std::vector<ReleaseRecords::Pair> &released)
{
    if (number != m_number) {
        startCandidacy(number);
    }
    if (complete) {
        m_votersWithAllReleases.insert(voter);
    }
    m_released.insert(released.begin(), released.end());
}

bool PriorReleases::complete(std::size_t entries) const
{
    return m_votersWithAllReleases.size() + releaseQuorum(entries) > entries;
}

const std::set<ReleaseRecords::Pair> &PriorReleases::released() const
{
    return m_released;
}

} // namespace tamarackcove
