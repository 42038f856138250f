#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Membership/ReleaseRecords.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarackcove {

class PinTable;
struct ViewMessage;

/// The state of an entry that follows a zone coordinator: the view, the lease under which the entry may dispatch, and
/// the adapters that it has released for eviction, that is, with which it starts no more requests on the target.
///
/// Thread safety: used on one thread.
class ZoneFollower
{
public:
    /// Precondition: pins outlives the object.
    ZoneFollower(Zone zone, const PinTable &pins, ReleaseRecords releaseRecords);

    /// Applies a view message from a coordinator. Returns false, and changes nothing, when this entry already follows a
    /// later coordinator or when the first message of a new coordinator is not a full view.
    bool applyView(const EntryId &from, const ViewMessage &message, TimePoint now);
    /// Applies the load figures in a heartbeat of another entry; `number` is the fencing number of the coordinator
    /// whose target indexes `loads` uses. Ignored when this entry follows another coordinator.
    void applyLoads(FencingNumber number, const std::vector<std::uint32_t> &loads, TimePoint now);
    /// Sets the numbers of running and waiting requests of a target that announced itself to this entry.
    void setLoad(const TargetId &target, int running, int waiting, TimePoint now);

    /// Extends the view lease to `until`. Ignored when `number` is not that of the followed coordinator.
    void extendViewLease(FencingNumber number, TimePoint until);
    [[nodiscard]] bool mayDispatch(TimePoint now) const;
    [[nodiscard]] TimePoint leaseEnd() const;

    /// Releases an adapter on a target for eviction by the coordinator with this number. Returns false when a request
    /// of this entry uses the adapter there, or when `number` is lower than that of the followed coordinator or than
    /// the highest granted one. After a return of true, no new request of this entry uses the adapter there.
    bool release(const TargetId &target, const AdapterRef &adapter, FencingNumber number, TimePoint now);
    /// Sets the highest fencing number that the voter of this entry has granted. Releases to coordinators with a lower
    /// number are refused from then on, because the candidate has already been told what this entry had released.
    void setHighestGranted(FencingNumber number);
    /// The released adapters whose eviction may still be in progress.
    [[nodiscard]] const ReleaseRecords &releaseRecords() const;
    /// Removes the release records that have expired by `now`.
    void tick(TimePoint now);

    [[nodiscard]] const ZoneView &view() const;
    /// The fencing number of the followed coordinator.
    [[nodiscard]] FencingNumber number() const;
    [[nodiscard]] const EntryId &coordinator() const;
    /// The index that the followed coordinator assigned to the target, or nothing when the view does not contain it.
    [[nodiscard]] std::optional<std::uint32_t> index(const TargetId &target) const;
    /// Entries of other zones that the followed coordinator considers alive.
    [[nodiscard]] const std::map<Zone, std::vector<EntryId>> &remoteEntries() const;

private:
    void setResidency(const ReleaseRecords::Pair &pair, std::optional<ResidencyState> state);

    Zone m_zone;
    const PinTable &m_pins;
    ReleaseRecords m_releaseRecords;
    ZoneView m_view;
    FencingNumber m_number;
    FencingNumber m_highestGranted;
    EntryId m_coordinator;
    TimePoint m_leaseEnd = TimePoint::min();
    std::map<std::uint32_t, TargetId> m_targetsByIndex;
    std::map<TargetId, std::uint32_t> m_indexes;
    std::map<Zone, std::vector<EntryId>> m_remoteEntries;
};

} // namespace tamarackcove
