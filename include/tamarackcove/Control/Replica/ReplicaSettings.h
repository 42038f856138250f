#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace tamarackcove {

/// Another control process of the same group.
struct ControlPeer
{
    /// Host name: unique within the group, and unchanged when the disk of the host is replaced.
    std::string name;
    /// Endpoint on which the peer accepts framed connections from control peers.
    Endpoint endpoint;
};

/// Settings of the replica of the log in one control process.
struct ReplicaSettings
{
    /// Host name of this process; see ControlPeer::name.
    std::string name;
    /// The other control processes of the group. When empty, this process forms a group of one and needs no peer to
    /// become the leader.
    std::vector<ControlPeer> peers;
    /// Holds the identity, the write-ahead log and the snapshots. Created when absent.
    std::filesystem::path dataFolder;
    /// Endpoint on which this process accepts control peers; with port 0 the kernel chooses the port. Not opened when
    /// `peers` is empty and `locatePeer` is not set.
    Endpoint listen;
    /// Endpoint of the administration API of this process. Sent to the peers, so that their NotLeader errors and their
    /// status can name the endpoint of the leader.
    Endpoint administration;

    milliseconds heartbeatInterval{100};
    milliseconds minElectionTimeout{300};
    milliseconds maxElectionTimeout{600};
    /// Must be shorter than minElectionTimeout by more than the clocks of two hosts can drift apart within one election
    /// timeout.
    milliseconds leaderLease{250};
    /// Number of log entries applied since the last snapshot after which a new snapshot is saved.
    std::uint64_t snapshotThreshold = 20000;
    /// Returns the endpoint on which the control process of this name accepts control peers, or nothing when there is
    /// no such process. When set, processes that are not in `peers` may join the group; `peers` then lists only the
    /// processes that form the group and that this process connects to first.
    std::function<std::optional<Endpoint>(const std::string &name)> locatePeer;
    /// Whether this process may form a group with `peers` when none of them belongs to a group. Set only at the first
    /// start of the whole system: later an empty data folder may mean a lost disk.
    bool mayFormGroup = true;
    /// See ReplicaOptions::maxVoters.
    std::size_t maxVoters = 0;
    /// Identifies this start of the process, so that other processes can detect a restart.
    std::string boot;
};

} // namespace tamarackcove
