#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"

#include <map>
#include <utility>

namespace tamarackcove {

/// Counts the pins of this entry: its requests in flight that use an adapter on a target. The coordinator evicts an
/// adapter from a target only after each entry of the zone has either reported that it has no pin for them, or has not
/// answered until its view lease ended, that is, until the entry may no longer start requests on the targets of the
/// zone; in the latter case the engine must report no running request.
///
/// Thread safety: used on one thread.
class PinTable
{
public:
    /// Records that a request of this entry uses the adapter on the target.
    void pin(const TargetId &target, const AdapterRef &adapter);
    /// Precondition: a matching pin().
    void unpin(const TargetId &target, const AdapterRef &adapter);
    /// Number of requests of this entry that use the adapter on the target.
    [[nodiscard]] int pins(const TargetId &target, const AdapterRef &adapter) const;
    /// Number of requests of this entry that use any adapter on the target.
    [[nodiscard]] int pinsOnTarget(const TargetId &target) const;

private:
    std::map<std::pair<TargetId, AdapterRef>, int> m_pins;
    std::map<TargetId, int> m_byTarget;
};

} // namespace tamarackcove
