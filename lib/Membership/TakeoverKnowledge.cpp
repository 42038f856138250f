#include "tamarackcove/Membership/TakeoverKnowledge.h"

namespace tamarackcove {

std::size_t releaseQuorum(std::size_t entries)
{
    return entries / 2 + 1;
}

void TakeoverKnowledge::startCandidacy(FencingNumber number)
{
    m_number = number;
    m_votersWithAllReleases.clear();
    m_released.clear();
}

void TakeoverKnowledge::noteVoter(FencingNumber number, const EntryId &voter, bool complete,
                                  const std::vector<ReleaseMarks::Pair> &released)
{
    if (number != m_number) {
        startCandidacy(number);
    }
    if (complete) {
        m_votersWithAllReleases.insert(voter);
    }
    m_released.insert(released.begin(), released.end());
}

bool TakeoverKnowledge::complete(std::size_t entries) const
{
    return m_votersWithAllReleases.size() + releaseQuorum(entries) > entries;
}

const std::set<ReleaseMarks::Pair> &TakeoverKnowledge::released() const
{
    return m_released;
}

} // namespace tamarackcove
