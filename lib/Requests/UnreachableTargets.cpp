#include "tamarackcove/Requests/UnreachableTargets.h"

namespace tamarackcove {

UnreachableTargets::UnreachableTargets(milliseconds avoidFor)
    : m_avoidFor(avoidFor)
{
}

void UnreachableTargets::noteUnreachable(const TargetId &target, TimePoint now)
{
    m_avoidUntil.insert_or_assign(target, now + m_avoidFor);
}

void UnreachableTargets::noteReached(const TargetId &target)
{
    m_avoidUntil.erase(target);
}

void UnreachableTargets::addTo(std::set<TargetId> &excluded, TimePoint now)
{
    std::erase_if(m_avoidUntil, [now](const auto &entry) { return entry.second <= now; });
    for (const auto &[target, avoidUntil] : m_avoidUntil) {
        excluded.insert(target);
    }
}

} // namespace tamarackcove
