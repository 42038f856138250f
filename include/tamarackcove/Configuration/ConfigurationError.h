#pragma once

#include <string>

namespace tamarackcove {

enum class ConfigurationErrorCode {
    /// The intent contradicts itself or names an invalid adapter.
    InvalidIntent,
    /// Another confirmed intent holds one of the adapter versions.
    AdapterOwned,
    UnknownPlan,
    /// The configuration has changed since the plan was computed, or the plan is confirmed already.
    Conflict,
    /// The command id was used with another command.
    CommandReused,
};

/// Why the replicated configuration refused a command.
struct ConfigurationError
{
    ConfigurationErrorCode code = ConfigurationErrorCode::InvalidIntent;
    std::string detail;
};

} // namespace tamarackcove
