#pragma once

#include "tamarackcove/Targets/TargetView.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// The targets of the own zone with what they hold, and for every other zone the adapters it holds. The zone
/// coordinator writes it through changes; routing reads it.
///
/// Thread safety: used on one thread. Pointers stay valid until the target is removed.
class ZoneView
{
public:
    void putTarget(TargetView target);
    void removeTarget(const TargetId &id);
    void setLoad(const TargetId &id, int running, int waiting, TimePoint reportedAt);
    void setHealth(const TargetId &id, TargetHealth health);
    /// No state means that the target does not hold the adapter.
    void setResidency(const TargetId &id, const AdapterRef &adapter, std::optional<ResidencyState> state);
    /// Notes whether another zone holds the adapter.
    void setRemoteResidency(const Zone &zone, const AdapterRef &adapter, bool resident);
    /// Forgets all that another zone holds, when it cannot be reached.
    void forgetZone(const Zone &zone);
    void clearTargets();

    [[nodiscard]] const TargetView *find(const TargetId &id) const;
    [[nodiscard]] const std::unordered_map<TargetId, TargetView> &targets() const;
    /// Targets of the own zone that hold the adapter for new work (Resident).
    [[nodiscard]] std::vector<const TargetView *> holders(const AdapterRef &adapter) const;
    [[nodiscard]] bool isLoading(const AdapterRef &adapter) const;
    [[nodiscard]] std::vector<const TargetView *> services(const ServiceName &service) const;
    /// Other zones that hold the adapter.
    [[nodiscard]] std::vector<Zone> remoteHolders(const AdapterRef &adapter) const;

private:
    std::unordered_map<TargetId, TargetView> m_targets;
    /// Which own targets hold or load an adapter; holds awake adapters only.
    std::unordered_map<AdapterRef, std::set<TargetId>> m_byAdapter;
    std::unordered_map<AdapterRef, std::set<Zone>> m_remote;
};

} // namespace tamarackcove
