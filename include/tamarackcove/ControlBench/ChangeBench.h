#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Time.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace tamarackcove {

/// What the measurement of configuration changes does.
struct ChangeBenchOptions
{
    /// Framed and administration endpoints of running control hosts.
    std::vector<Endpoint> control;
    std::vector<Endpoint> administration;
    int watchers = 7;
    int changes = 50;
    /// Adapters that are configured before the first measured change.
    int adapters = 3000;
    milliseconds idle = seconds(10);
};

/// Runs that many entry links in this process against running control hosts, makes changes, and measures how long
/// until each link has a change in force, and what changes and idling cost here and on the control hosts.
nlohmann::json runChangeBench(const ChangeBenchOptions &options);

} // namespace tamarackcove
