#pragma once

#include "tamarackcove/Base/Endpoint.h"

#include <optional>
#include <string>

namespace tamarackcove {

enum class LogErrorCode {
    /// This replica does not lead; the command was certainly not accepted.
    NotLeader,
    /// No majority can be reached; the command was certainly not accepted.
    Unavailable,
    /// The command was sent to other replicas, and whether it will be accepted is not known.
    OutcomeUnknown,
};

/// Why the replicated log did not take a command.
struct LogError
{
    LogErrorCode code = LogErrorCode::Unavailable;
    std::string detail;
    /// Where the leader's administration API is, when known.
    std::optional<Endpoint> leader;
};

} // namespace tamarackcove
