#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// One replica as the answering replica sees it.
struct ReplicaStatus
{
    ReplicaId id;
    bool voter = false;
    bool reachable = false;
    std::uint64_t matchedIndex = 0;
    /// Host name, and the start of its process that was last heard of.
    std::string name{};
    std::string boot{};
};

/// The replicated log as one replica sees it.
struct LogStatus
{
    ReplicaId self;
    std::string role;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::optional<Endpoint> leader;
    std::vector<ReplicaStatus> replicas;
    /// How many more voters may be lost before the log stops; negative when it has stopped.
    int lossesTolerated = 0;
};

} // namespace tamarackcove
