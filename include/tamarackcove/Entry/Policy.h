#pragma once

#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Residency/ResidencyPlanner.h"
#include "tamarackcove/Routing/Router.h"

#include <optional>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// The options by which an entry routes requests and by which its zone coordinator chooses adapters to load and evict.
struct Policy
{
    Router::Options routing;
    ResidencyPlanner::Options residency;
};

/// The request load of a target, as running and waiting requests divided by its batch size, up to which more requests
/// are sent to it to fill its batch instead of to a less loaded target. Equal weights give 0.75. A higher weight of
/// batch efficiency raises the threshold; a higher weight of load stall, the time that requests wait for their adapter
/// to load, lowers it.
[[nodiscard]] double packThreshold(const PolicyWeights &weights);

/// The names that policyByName() accepts, the default first.
[[nodiscard]] std::vector<std::string_view> policyNames();

/// Returns the policy with this name, made from the options in `base`, or nothing when the name is unknown.
///
/// The names are `default` and, as baselines for comparison, `least_loaded_lru`, `least_loaded_lfu` and
/// `bounded_rendezvous_lru`.
[[nodiscard]] std::optional<Policy> policyByName(std::string_view name, Policy base);

} // namespace tamarackcove
