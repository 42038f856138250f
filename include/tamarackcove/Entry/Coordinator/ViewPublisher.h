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

/// Builds the view messages of a coordinator from its target registry and the summaries of other zones: either the
/// changes since the last message, or the whole view.
///
/// Thread safety: used on one thread.
class ViewPublisher
{
public:
    /// Whether an order of an earlier coordinator may still evict the adapter; the view then shows it as retiring.
    using MayBeEvicted = std::function<bool(const TargetId &target, const AdapterRef &adapter)>;

    /// Precondition: registry outlives the object.
    ViewPublisher(FencingNumber number, TargetRegistry &registry, MayBeEvicted mayBeEvicted);

    /// Sets whether the adapter is resident in another zone.
    void setRemoteResidency(const Zone &zone, const AdapterRef &adapter, bool resident);
    void clearRemoteResidency(const Zone &zone);
    /// Sets the entries of another zone that are alive. An empty list means that the zone cannot be reached; its
    /// resident adapters are then dropped from the view.
    void setRemoteEntries(const Zone &zone, std::vector<EntryId> entries);
    /// Publishes the target again, because MayBeEvicted now returns other values for its adapters.
    void republish(const TargetId &target);

    /// The changes since the last call of takeChanges(); may be empty.
    [[nodiscard]] ViewMessage takeChanges();
    /// The whole view: a message with `full` set, followed by more messages when the view does not fit into one.
    [[nodiscard]] std::vector<ViewMessage> full() const;

private:
    [[nodiscard]] WireTarget wireTarget(const TargetId &target) const;
    [[nodiscard]] int wireState(const TargetId &target, const AdapterRef &adapter, int state) const;

    FencingNumber m_number;
    TargetRegistry &m_registry;
    MayBeEvicted m_mayBeEvicted;
    std::map<Zone, std::set<AdapterRef>> m_remoteResidency;
    std::map<Zone, std::vector<EntryId>> m_remoteEntries;
    /// Index of each published target. Kept here because the registry no longer has the index of a removed target,
    /// which the message about its removal needs.
    std::map<TargetId, std::uint32_t> m_publishedIndexes;
    ViewMessage m_pendingChanges;
};

} // namespace tamarackcove
