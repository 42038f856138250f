#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Membership/ReleaseMarks.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarackcove {

class PinTable;
struct ViewMessage;

/// What this entry knows through the coordinator that it follows: the view, the lease under which it may dispatch,
/// and what it has released.
///
/// Thread safety: used on one thread.
class ZoneFollower
{
public:
    /// Precondition: pins outlives the object.
    ZoneFollower(Zone zone, const PinTable &pins, ReleaseMarks marks);

    /// Applies changes from a coordinator. Returns false, and changes nothing, when a later coordinator is followed
    /// already or the first message of this one was not a full view.
    bool applyView(const EntryId &from, const ViewMessage &message, TimePoint now);
    /// Load figures that another entry passed on; `number` tells whose target indexes they use.
    void applyLoads(FencingNumber number, const std::vector<std::uint32_t> &loads, TimePoint now);
    void setLoad(const TargetId &target, int running, int waiting, TimePoint now);

    /// The coordinator with this number lets this entry dispatch until then.
    void extendLease(FencingNumber number, TimePoint until);
    [[nodiscard]] bool mayDispatch(TimePoint now) const;
    [[nodiscard]] TimePoint leaseEnd() const;

    /// A coordinator asks for release. Returns whether no request of this entry uses the adapter there; from then on
    /// none starts to.
    bool release(const TargetId &target, const AdapterRef &adapter, FencingNumber number, TimePoint now);
    /// The highest number that the voter of this entry has granted: releases to earlier coordinators are refused from
    /// then on, because the candidate was told what had been released before.
    void setVoted(FencingNumber number);
    /// What was released and may still be evicted.
    [[nodiscard]] const ReleaseMarks &marks() const;
    void tick(TimePoint now);

    [[nodiscard]] const ZoneView &view() const;
    [[nodiscard]] FencingNumber number() const;
    [[nodiscard]] const EntryId &coordinator() const;
    [[nodiscard]] std::optional<std::uint32_t> index(const TargetId &target) const;
    /// Entries of other zones that are believed alive.
    [[nodiscard]] const std::map<Zone, std::vector<EntryId>> &remoteEntries() const;

private:
    void setResidency(const ReleaseMarks::Pair &pair, std::optional<ResidencyState> state);

    Zone m_zone;
    const PinTable &m_pins;
    ReleaseMarks m_marks;
    ZoneView m_view;
    FencingNumber m_number;
    FencingNumber m_voted;
    EntryId m_coordinator;
    TimePoint m_leaseEnd = TimePoint::min();
    std::map<std::uint32_t, TargetId> m_byIndex;
    std::map<TargetId, std::uint32_t> m_indexes;
    std::map<Zone, std::vector<EntryId>> m_remoteEntries;
};

} // namespace tamarackcove
