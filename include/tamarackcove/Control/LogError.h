#pragma once

#include "tamarackcove/Base/Endpoint.h"

#include <optional>
#include <string>

namespace tamarackcove {

enum class LogErrorCode {
    /// This replica does not lead. The command is guaranteed not to be committed.
    NotLeader,
    /// No majority can be reached. The command is guaranteed not to be committed.
    Unavailable,
    /// The command was sent to other replicas; it is not known whether it will be committed.
    OutcomeUnknown,
};

/// Why the replicated log did not complete a command or a read barrier.
struct LogError
{
    LogErrorCode code = LogErrorCode::Unavailable;
    std::string detail;
    /// The endpoint of the leader's administration API, if known.
    std::optional<Endpoint> leader;
};

} // namespace tamarackcove
