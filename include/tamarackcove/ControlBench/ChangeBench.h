#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Time.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace tamarackcove {

/// Parameters of the measurement of configuration changes.
struct ChangeBenchOptions
{
    /// Endpoints of running control hosts that accept the framed connections of entries.
    std::vector<Endpoint> controlEndpoints;
    /// HTTP endpoints of the same hosts for operators.
    std::vector<Endpoint> administrationEndpoints;
    /// Number of links to the control hosts. Each simulates the link of one entry.
    int watchers = 7;
    int changes = 50;
    /// Adapters that are configured before the first measured change.
    int adapters = 3000;
    /// Length of the measurement of idle links, during which no change is made.
    milliseconds idleDuration = seconds(10);
};

/// Connects the entry links of this process to running control hosts and makes changes. Measures how long a change
/// takes from the confirmation until it is in force at each link, and the traffic and CPU time of changes and of idle
/// links, in this process and on the control hosts. Throws std::runtime_error when a change is refused or does not
/// reach all links.
nlohmann::json runChangeBench(const ChangeBenchOptions &options);

} // namespace tamarackcove
