#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Consensus/ReplicaOutput.h"

#include <cstdint>
#include <memory>

namespace tamarackcove {

/// What a leader knows about one other replica.
struct ReplicaProgress
{
    /// The next entry to send.
    LogIndex next = 1;
    /// Synced there and equal to the leader's log.
    LogIndex matched = 0;
    /// Append messages with entries that are not yet answered.
    int inFlight = 0;
    /// False until the peer has accepted one append: only then are several sent ahead of the answers.
    bool pipelining = false;
    TimePoint lastHeartbeat{};
    /// Sending time of the newest message that the peer has answered. Lease and reachability count from it, not from
    /// the arrival of the answer: a leader that was frozen reads answers that a lost replica sent long ago.
    TimePoint contact{};
    /// Holds what was committed one catch-up interval ago.
    bool caughtUp = false;
    /// The snapshot that is being sent, if any.
    std::shared_ptr<const SnapshotImage> snapshot{};
    std::uint64_t snapshotOffset = 0;
    TimePoint lastChunk{};
};

} // namespace tamarackcove
