#pragma once

#include "tamarackcove/Configuration/ServingConfiguration.h"

#include <optional>
#include <set>
#include <vector>

namespace tamarackcove {

struct AdapterPut
{
    AdapterRef adapter;
    AdapterRecord record;
};

/// The changes that lead from one revision of the serving configuration to a later one.
///
/// Removals apply before additions, and additions in their order.
struct ConfigurationDelta
{
    /// A full delta replaces whatever was there; its `from` has no meaning.
    bool full = false;
    Revision from;
    Revision to;
    std::vector<AdapterRef> removed;
    std::vector<AdapterPut> put;
    std::map<ServiceName, ServiceRoute> services;
    std::set<ServiceName> removedServices;
    std::vector<std::uint64_t> quarantined;
    std::vector<std::uint64_t> released;
    std::optional<StoreLimits> store;
    std::optional<PolicyWeights> weights;

    /// The number of single changes.
    [[nodiscard]] std::size_t size() const;
    /// Adds the changes of a delta that starts where this one ends. Precondition: later.from == to.
    void append(const ConfigurationDelta &later);
};

/// Applies a delta. Precondition: it is full, or its `from` is the revision of the configuration.
void applyDelta(ServingConfiguration &configuration, const ConfigurationDelta &delta);

/// The whole configuration as a full delta, in a fixed order.
[[nodiscard]] ConfigurationDelta fullDelta(const ServingConfiguration &configuration);

} // namespace tamarackcove
