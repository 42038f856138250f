#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace tamarackcove {

/// Longest encoded command, in bytes. Longer ones are refused, so that every append message fits into one frame of at
/// most 1 MiB. Whoever takes a command from outside checks this limit and names it in the refusal.
inline constexpr std::size_t MaxCommandBytes = 512 * 1024;

/// Timeouts and limits of a replica. All replicas of a group must use the same election timeouts and lease.
struct ReplicaOptions
{
    milliseconds heartbeatInterval{100};
    milliseconds minElectionTimeout{300};
    milliseconds maxElectionTimeout{600};
    /// How long a leader may act as the leader, counted from when it sent messages that a majority has answered.
    /// Precondition: shorter than minElectionTimeout, with a margin for clock drift. 250 ms against 300 ms is safe
    /// while no clock runs more than 20% faster than another.
    milliseconds leaderLease{250};
    /// Interval of the catch-up check. A replica is caught up if it has the entries that were committed at the last
    /// check.
    milliseconds catchUpInterval{200};

    /// Bytes of commands in one append message; leaves room for overhead in a frame of at most 1 MiB.
    std::size_t maxBatchBytes = 256 * 1024;
    /// Limit of unanswered append messages with entries to one peer.
    int maxInFlight = 32;
    std::size_t snapshotChunkBytes = 512 * 1024;
    std::size_t maxCommandBytes = MaxCommandBytes;
    /// Entries before a snapshot that stay in memory, so that a replica which is only slightly behind needs no
    /// snapshot.
    std::uint64_t trailingEntries = 5000;
    /// Limit of entries that are proposed but not committed; at the limit proposals are refused.
    std::uint64_t maxUncommitted = 20000;

    /// Target number of voters; 0 makes every member a voter. Further members stay learners, and one of them can
    /// replace a voter that does not answer. If the replaced voter answers again after the learner was promoted and
    /// before that voter was demoted, the group keeps one voter more than maxVoters until another voter is lost.
    /// maxVoters should be odd: an even number needs a larger majority without tolerating more losses.
    std::size_t maxVoters = 0;
    /// With maxVoters set, a learner that is caught up replaces a voter that has answered no message which the leader
    /// sent within the last replaceVoterAfter. A new leader waits at least this long after its election.
    milliseconds replaceVoterAfter{1500};
    /// Random number generator for the election timeout.
    std::function<std::uint64_t()> random;
};

} // namespace tamarackcove
