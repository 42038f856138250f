#include "tamarackcove/Requests/UnreachableTargets.h"

namespace tamarackcove {

UnreachableTargets::UnreachableTargets(milliseconds excludeFor)
    : m_excludeFor(excludeFor)
{
}

void UnreachableTargets::noteUnreachable(const TargetId &target, TimePoint now)
{
    m_excludedUntil.insert_or_assign(target, now + m_excludeFor);
}

void UnreachableTargets::noteReached(const TargetId &target)
{
    m_excludedUntil.erase(target);
}

void UnreachableTargets::addTo(std::set<TargetId> &excluded, TimePoint now)
{
    std::erase_if(m_excludedUntil, [now](const auto &entry) { return entry.second <= now; });
    for (const auto &[target, avoidUntil] : m_excludedUntil) {
        excluded.insert(target);
    }
}

} // namespace tamarackcove
