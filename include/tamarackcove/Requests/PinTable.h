#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"

#include <map>
#include <utility>

namespace tamarackcove {

/// Counts the requests of this entry that use an adapter on a target. The coordinator evicts an adapter only after
/// every entry of the zone has none.
///
/// Thread safety: used on one thread.
class PinTable
{
public:
    void pin(const TargetId &target, const AdapterRef &adapter);
    /// Precondition: a matching pin().
    void unpin(const TargetId &target, const AdapterRef &adapter);
    [[nodiscard]] int pins(const TargetId &target, const AdapterRef &adapter) const;
    /// All pins on a target: what this entry has in flight there.
    [[nodiscard]] int pinsOnTarget(const TargetId &target) const;

private:
    std::map<std::pair<TargetId, AdapterRef>, int> m_pins;
    std::map<TargetId, int> m_byTarget;
};

} // namespace tamarackcove
