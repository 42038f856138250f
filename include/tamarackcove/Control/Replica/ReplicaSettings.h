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
    /// Names are unique within the group and stay with the host when its disk is replaced.
    std::string name;
    /// Where the peer accepts framed connections from control peers.
    Endpoint endpoint;
};

/// How one control process takes part in the replicated log.
struct ReplicaSettings
{
    std::string name;
    /// The other control processes, without this one. Empty: a group of one, which works at once.
    std::vector<ControlPeer> peers;
    /// Holds the identity, the write-ahead log and the snapshots. Created when absent.
    std::filesystem::path dataFolder;
    /// Where this process accepts control peers; port 0 takes a port from the kernel. Not opened without peers.
    Endpoint listen;
    /// Sent to the peers, so that their errors and status can name the leader's administration API.
    Endpoint administration;

    milliseconds heartbeatInterval{100};
    milliseconds minElectionTimeout{300};
    milliseconds maxElectionTimeout{600};
    /// Must be shorter than minElectionTimeout by more than the clocks may drift apart within it.
    milliseconds leaderLease{250};
    /// A snapshot is saved after this many applied commands.
    std::uint64_t snapshotEvery = 20000;
    /// Where a control process of this name accepts control peers. When set, processes that are not in `peers` may
    /// join; `peers` are then only those that form the group and those to ask first.
    std::function<std::optional<Endpoint>(const std::string &name)> locate;
    /// Whether this process may form a group with `peers` when all of them are empty. Only true at the first start of
    /// the whole system: an empty folder may later mean a lost disk.
    bool mayFormGroup = true;
    /// See ReplicaOptions.
    std::size_t maxVoters = 0;
    /// Names this start of the process, so that others can tell it from the start before.
    std::string boot;
};

} // namespace tamarackcove
