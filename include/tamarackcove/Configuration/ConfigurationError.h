#pragma once

#include <string>

namespace tamarackcove {

enum class ConfigurationErrorCode {
    /// The intent contradicts itself or names an invalid adapter.
    InvalidIntent,
    /// One of the adapter versions belongs to another confirmed intent.
    AdapterOwned,
    /// No plan with this id exists, or it has expired.
    UnknownPlan,
    /// The configuration has changed since the plan was computed, the given base revision is not that of the plan, or
    /// the plan was confirmed or replaced.
    Conflict,
    /// The command id was already used for another command.
    CommandReused,
};

/// Why the replicated configuration refused a command.
struct ConfigurationError
{
    ConfigurationErrorCode code = ConfigurationErrorCode::InvalidIntent;
    std::string detail;
};

} // namespace tamarackcove
