#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Configuration/AdapterCatalog.h"

#include <cstdint>
#include <map>
#include <unordered_set>

namespace tamarackcove {

/// How an entry treats calls to one plain service.
struct ServiceRoute
{
    /// Whether a call may be sent again after its outcome was lost, unless its headers say otherwise.
    bool repeatable = false;
    milliseconds timeout = seconds(30);
    /// Share of an entry's admission that this service may take, in percent; keeps one customer from starving others.
    int sharePercent = 50;

    bool operator==(const ServiceRoute &) const = default;
};

/// What the weight store allows, over all zones together.
struct StoreLimits
{
    double loadsPerSecond = 7.0;
    int concurrentLoads = 3;

    bool operator==(const StoreLimits &) const = default;
};

/// How a deployment weighs its two measures; see docs/design.md section 1.2.
struct PolicyWeights
{
    double loadStall = 1.0;
    double batchEfficiency = 1.0;

    bool operator==(const PolicyWeights &) const = default;
};

/// The accepted configuration, as far as an entry needs it.
struct ServingConfiguration
{
    Revision revision;
    AdapterCatalog adapters;
    std::map<ServiceName, ServiceRoute> services;
    /// Fingerprints of requests that crash targets.
    std::unordered_set<std::uint64_t> quarantined;
    StoreLimits store;
    PolicyWeights weights;
};

} // namespace tamarackcove
