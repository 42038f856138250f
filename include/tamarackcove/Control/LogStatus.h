#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// The status of one replica as seen by the replica that reports it.
struct ReplicaStatus
{
    ReplicaId id;
    bool voter = false;
    /// See Replica::reachable().
    bool reachable = false;
    /// See Replica::matchedIndex().
    std::uint64_t matchedIndex = 0;
    /// Name of the replica's host.
    std::string name{};
    /// Identifies the process start that the replica last announced; another value means that it has restarted.
    std::string boot{};
};

/// The status of the replicated log as seen by one replica.
struct LogStatus
{
    ReplicaId self;
    std::string role;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    /// The endpoint of the leader's administration API, if known.
    std::optional<Endpoint> leader;
    std::vector<ReplicaStatus> replicas;
    /// How many more voters may fail before the log loses its majority; negative when it has none.
    int lossesTolerated = 0;
};

} // namespace tamarackcove
