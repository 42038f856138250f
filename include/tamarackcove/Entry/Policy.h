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

/// The share of its batch up to which a target is filled before another target gets work. Equal weights give 0.75. A
/// higher weight of batch efficiency fills batches further; a higher weight of load stalls spreads work earlier.
[[nodiscard]] double packThreshold(const PolicyWeights &weights);

/// The names that policyByName() accepts, the default first.
[[nodiscard]] std::vector<std::string_view> policyNames();

/// Returns the policy with this name, made from the options in `base`, or nothing when the name is unknown.
///
/// The names are `default` and, as baselines for comparison, `least_loaded_lru`, `least_loaded_lfu` and
/// `bounded_rendezvous_lru`.
[[nodiscard]] std::optional<Policy> policyByName(std::string_view name, Policy base);

} // namespace tamarackcove
