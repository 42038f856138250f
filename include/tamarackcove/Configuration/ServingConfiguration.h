#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Configuration/AdapterCatalog.h"

#include <cstdint>
#include <map>
#include <unordered_set>

namespace tamarackcove {

/// How an entry forwards calls to one plain service, which is a service without a base model and adapters.
struct ServiceRoute
{
    /// Whether a call with an unknown outcome may be sent again. The headers of a call override this.
    bool repeatable = false;
    milliseconds timeout = seconds(30);
    /// The maximum share of an entry's admission capacity for this service, in percent. It keeps one customer from
    /// starving the others.
    int sharePercent = 50;

    bool operator==(const ServiceRoute &) const = default;
};

/// The limits of adapter loads from the weight store, shared by all zones.
struct StoreLimits
{
    double loadsPerSecond = 7.0;
    int concurrentLoads = 3;

    bool operator==(const StoreLimits &) const = default;
};

/// The weights of a deployment for its two measures, load stall (the time that requests wait for their adapter to load)
/// and batch efficiency; see docs/design.md section 1.2.
struct PolicyWeights
{
    double loadStall = 1.0;
    double batchEfficiency = 1.0;

    bool operator==(const PolicyWeights &) const = default;
};

/// The part of the confirmed configuration that entries need.
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
