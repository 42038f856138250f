#include "tamarackcove/Requests/BrokenTargets.h"

namespace tamarackcove {

BrokenTargets::BrokenTargets(milliseconds avoidFor)
    : m_avoidFor(avoidFor)
{
}

void BrokenTargets::noteBroken(const TargetId &target, TimePoint now)
{
    m_avoidUntil.insert_or_assign(target, now + m_avoidFor);
}

void BrokenTargets::noteReached(const TargetId &target)
{
    m_avoidUntil.erase(target);
}

void BrokenTargets::addTo(std::set<TargetId> &excluded, TimePoint now)
{
    std::erase_if(m_avoidUntil, [now](const auto &entry) { return entry.second <= now; });
    for (const auto &[target, avoidUntil] : m_avoidUntil) {
        excluded.insert(target);
    }
}

} // namespace tamarackcove
