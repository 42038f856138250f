#pragma once

#include "tamarackcove/Targets/TargetView.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// The targets of the entry's own zone with their adapters, and the adapters that are resident in each other zone. It
/// is updated with the changes that the zone coordinator publishes; routing reads it.
///
/// Thread safety: used on one thread. Pointers stay valid until the target is removed.
class ZoneView
{
public:
    /// Adds the target or replaces it, including its adapters.
    void putTarget(TargetView target);
    void removeTarget(const TargetId &id);
    void setLoad(const TargetId &id, int running, int waiting, TimePoint reportedAt);
    void setHealth(const TargetId &id, TargetHealth health);
    /// A `state` of std::nullopt means that the target no longer holds the adapter. Unknown targets are ignored.
    void setResidency(const TargetId &id, const AdapterRef &adapter, std::optional<ResidencyState> state);
    /// Records whether the adapter is resident in another zone.
    void setRemoteResidency(const Zone &zone, const AdapterRef &adapter, bool resident);
    /// Removes all adapters of another zone, because the zone cannot be reached.
    void clearRemoteResidency(const Zone &zone);
    void clearTargets();

    [[nodiscard]] const TargetView *find(const TargetId &id) const;
    [[nodiscard]] const std::unordered_map<TargetId, TargetView> &targets() const;
    /// The targets of the entry's own zone on which the adapter is Resident, so that new requests can use it.
    [[nodiscard]] std::vector<const TargetView *> holders(const AdapterRef &adapter) const;
    /// Whether a target of the own zone is loading the adapter.
    [[nodiscard]] bool isLoading(const AdapterRef &adapter) const;
    /// The targets of the own zone that provide the plain service.
    [[nodiscard]] std::vector<const TargetView *> services(const ServiceName &service) const;
    /// The other zones in which the adapter is resident.
    [[nodiscard]] std::vector<Zone> remoteHolders(const AdapterRef &adapter) const;

private:
    std::unordered_map<TargetId, TargetView> m_targets;
    /// The targets of the own zone with a residency state for the adapter. Idle adapters have no element.
    std::unordered_map<AdapterRef, std::set<TargetId>> m_targetsByAdapter;
    /// The other zones in which the adapter is resident.
    std::unordered_map<AdapterRef, std::set<Zone>> m_zonesByAdapter;
};

} // namespace tamarackcove
