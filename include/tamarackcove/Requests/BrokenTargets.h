#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <set>

namespace tamarackcove {

/// Targets that this entry could not reach a moment ago. The view of the zone shows the loss of a target seconds
/// later; until then every request would try it first.
///
/// Thread safety: used on one thread.
class BrokenTargets
{
public:
    /// A target is tried again after this time.
    explicit BrokenTargets(milliseconds avoidFor = milliseconds(500));

    void noteBroken(const TargetId &target, TimePoint now);
    void noteReached(const TargetId &target);
    /// Adds the targets to avoid now to the set.
    void addTo(std::set<TargetId> &excluded, TimePoint now);

private:
    milliseconds m_avoidFor;
    std::map<TargetId, TimePoint> m_until;
};

} // namespace tamarackcove
