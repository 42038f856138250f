#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Consensus/ReplicaOutput.h"

#include <cstdint>
#include <memory>

namespace tamarackcove {

/// Replication progress of one other replica, tracked by the leader.
struct ReplicaProgress
{
    /// Index of the next entry to send.
    LogIndex nextIndex = 1;
    /// Index up to which the log of the peer is synced and equal to the log of the leader.
    LogIndex matchIndex = 0;
    /// Number of append messages with entries that are not answered yet.
    int inFlight = 0;
    /// Whether several append messages may be sent before the first is answered. False until the peer has accepted one.
    bool pipelining = false;
    TimePoint lastHeartbeatAt{};
    /// When the newest message that the peer has answered was sent. Lease and reachability are measured from this time
    /// and not from the arrival of the answer: after a suspension of its process, a leader reads answers that were sent
    /// long ago, by a replica that may have failed since.
    TimePoint answeredSentAt{};
    /// Whether the peer has the entries that were committed at the last catch-up check.
    bool caughtUp = false;
    /// The snapshot that is being sent, if any.
    std::shared_ptr<const SnapshotImage> snapshot{};
    /// Bytes of the snapshot that the peer has acknowledged.
    std::uint64_t snapshotOffset = 0;
    TimePoint lastChunkAt{};
};

} // namespace tamarackcove
