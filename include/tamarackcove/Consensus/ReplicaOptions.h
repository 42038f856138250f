#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace tamarackcove {

/// Times and limits of a replica. All replicas of a group must use the same election times and lease.
struct ReplicaOptions
{
    milliseconds heartbeatInterval{100};
    milliseconds minElectionTimeout{300};
    milliseconds maxElectionTimeout{600};
    /// Precondition: shorter than minElectionTimeout, with room for clocks that run at different speeds. 250 of 300 ms
    /// is safe while no clock runs more than 20% faster than another.
    milliseconds leaderLease{250};
    /// A learner is caught up when it holds what was committed this long ago.
    milliseconds catchUpInterval{200};

    /// Commands in one append message; far below the frame limit of 1 MiB with its overhead.
    std::size_t maxBatchBytes = 256 * 1024;
    /// Append messages with entries that may be under way to one peer.
    int maxInFlight = 32;
    std::size_t snapshotChunkBytes = 512 * 1024;
    /// A longer command is refused, so that each append fits into one frame.
    std::size_t maxCommandBytes = 512 * 1024;
    /// Entries kept in memory behind a snapshot, so that a replica that is a little behind needs no snapshot.
    std::uint64_t trailingEntries = 5000;
    /// Entries that are proposed and not yet committed; beyond it proposals are refused.
    std::uint64_t maxUncommitted = 20000;

    /// Voters of the group. Further members stay learners that can take the place of a voter that is gone; when that
    /// one comes back in between, the group has one voter more until the next is lost. 0 makes every member a voter.
    /// Odd, so that the group does not need more replicas to decide than it gains.
    std::size_t maxVoters = 0;
    /// With maxVoters: a voter that was silent for this long is replaced by a learner that is caught up.
    milliseconds replaceVoterAfter{1500};
    /// Source of the randomised election timeout.
    std::function<std::uint64_t()> random;
};

} // namespace tamarackcove
