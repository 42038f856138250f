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

/// The changes that turn one revision of the serving configuration into a later one.
///
/// Removals are applied before additions, and additions in list order.
struct ConfigurationDelta
{
    /// A full delta replaces the whole configuration; its `from` is ignored.
    bool full = false;
    Revision from;
    Revision to;
    std::vector<AdapterRef> removed;
    std::vector<AdapterPut> put;
    std::map<ServiceName, ServiceRoute> services;
    std::set<ServiceName> removedServices;
    /// Request fingerprints that are added to the quarantine.
    std::vector<std::uint64_t> quarantined;
    /// Request fingerprints that are removed from the quarantine.
    std::vector<std::uint64_t> released;
    /// Absent values leave the configuration unchanged.
    std::optional<StoreLimits> store;
    std::optional<PolicyWeights> weights;

    /// The number of individual changes.
    [[nodiscard]] std::size_t size() const;
    /// Appends the changes of the next delta. Precondition: `later` is not full and later.from == to.
    void append(const ConfigurationDelta &later);
};

/// Applies a delta. Precondition: it is full, or its `from` is the revision of the configuration.
void applyDelta(ServingConfiguration &configuration, const ConfigurationDelta &delta);

/// Returns the whole configuration as a full delta. Adapters and fingerprints are sorted, so that equal configurations
/// give equal deltas.
[[nodiscard]] ConfigurationDelta fullDelta(const ServingConfiguration &configuration);

} // namespace tamarackcove
