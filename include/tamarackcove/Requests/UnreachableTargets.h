#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <set>

namespace tamarackcove {

/// Targets that this entry recently failed to reach, to be excluded from routing for a short time. The view of the zone
/// shows the loss of a target only seconds later; until then every request would try the lost target first.
///
/// Thread safety: used on one thread.
class UnreachableTargets
{
public:
    /// A target is excluded for the time `excludeFor` after the latest failure to reach it.
    explicit UnreachableTargets(milliseconds excludeFor = milliseconds(500));

    /// Records a failure to reach the target.
    void noteUnreachable(const TargetId &target, TimePoint now);
    /// Records that the target answered; ends its exclusion.
    void noteReached(const TargetId &target);
    /// Adds the targets that are excluded now to `excluded`.
    void addTo(std::set<TargetId> &excluded, TimePoint now);

private:
    milliseconds m_excludeFor;
    /// When the exclusion of each target ends.
    std::map<TargetId, TimePoint> m_excludedUntil;
};

} // namespace tamarackcove
