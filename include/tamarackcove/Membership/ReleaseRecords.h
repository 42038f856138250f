#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <utility>
#include <vector>

namespace tamarackcove {

/// Records of the adapters that an entry has released to zone coordinators: the entry has stopped sending requests for
/// the adapter to one target, and the coordinator may unload the adapter from that target.
///
/// After a coordinator loses its lease, its unload order may still be in progress. Voters therefore send their records
/// to the candidate that they vote for, which must not offer these adapters to entries for routing until it knows that
/// such orders have ended.
///
/// Thread safety: used on one thread.
class ReleaseRecords
{
public:
    using Pair = std::pair<TargetId, AdapterRef>;

    /// `lifetime` is how long a release can affect a target: the longest duration of a release handshake plus that of
    /// an unload order.
    ReleaseRecords(TimePoint startedAt, milliseconds lifetime);

    /// Records a release to the coordinator with this fencing number. The record replaces an earlier record of
    /// the same target and adapter.
    void recordRelease(const Pair &pair, FencingNumber releasedTo, TimePoint now);
    /// Removes the record, unless it is of a release to a later coordinator. Called when the coordinator with this
    /// fencing number offers the adapter to entries for routing or has unloaded the adapter, and so knows that no order
    /// of an earlier coordinator is in progress.
    void clear(const Pair &pair, FencingNumber coordinator);

    /// Pairs of target and adapter whose records have not expired.
    [[nodiscard]] std::vector<Pair> activeReleases(TimePoint now) const;
    /// Whether the records are complete: this process has run for `lifetime`, so every release by the process before it
    /// has expired.
    [[nodiscard]] bool isComplete(TimePoint now) const;
    /// Removes expired records.
    void tick(TimePoint now);

private:
    struct Record
    {
        FencingNumber releasedTo;
        TimePoint expiresAt;
    };

    TimePoint m_startedAt;
    milliseconds m_lifetime;
    std::map<Pair, Record> m_records;
};

} // namespace tamarackcove
