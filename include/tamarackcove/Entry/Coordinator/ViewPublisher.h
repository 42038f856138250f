#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Peers/PeerMessages.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace tamarackcove {

class TargetRegistry;

/// Turns what a coordinator knows into view messages: the changes since the last one, or everything.
///
/// Thread safety: used on one thread.
class ViewPublisher
{
public:
    /// Whether an order of an earlier coordinator may evict the adapter; it is then shown as retiring.
    using MayBeEvicted = std::function<bool(const TargetId &target, const AdapterRef &adapter)>;

    /// Precondition: registry outlives the object.
    ViewPublisher(FencingNumber number, TargetRegistry &registry, MayBeEvicted mayBeEvicted);

    void setRemote(const Zone &zone, const AdapterRef &adapter, bool resident);
    void clearRemote(const Zone &zone);
    /// No entries means that the zone cannot be reached; what it holds is then forgotten.
    void setRemoteEntries(const Zone &zone, std::vector<EntryId> entries);
    /// The answers of MayBeEvicted changed for this target.
    void republish(const TargetId &target);

    /// The changes since the last call; may be empty.
    [[nodiscard]] ViewMessage takeChanges();
    /// Everything, as a full message and more messages when it is long.
    [[nodiscard]] std::vector<ViewMessage> full() const;

private:
    [[nodiscard]] WireTarget wireTarget(const TargetId &target) const;
    [[nodiscard]] int wireState(const TargetId &target, const AdapterRef &adapter, int state) const;

    FencingNumber m_number;
    TargetRegistry &m_registry;
    MayBeEvicted m_mayBeEvicted;
    std::map<Zone, std::set<AdapterRef>> m_remote;
    std::map<Zone, std::vector<EntryId>> m_remoteEntries;
    /// Indexes that were published, because a target that is gone has none any more.
    std::map<TargetId, std::uint32_t> m_published;
    ViewMessage m_pending;
};

} // namespace tamarackcove
