#pragma once

#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Residency/ResidencyPlanner.h"
#include "tamarackcove/Routing/Router.h"

#include <optional>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// How an entry routes and what its zone coordinator loads and evicts.
struct Policy
{
    Router::Options routing;
    ResidencyPlanner::Options residency;
};

/// Up to which share of its batch a target is filled before another one gets work. Equal weights give 0.75; a
/// deployment that weighs batch efficiency more fills batches further, one that weighs load stalls more spreads work
/// earlier.
[[nodiscard]] double packThreshold(const PolicyWeights &weights);

/// The names that policyByName() knows, the default first.
[[nodiscard]] std::vector<std::string_view> policyNames();

/// The policy of this name with the given options as its base, or nothing when there is none.
///
/// `default`, and the baselines `least_loaded_lru`, `least_loaded_lfu` and `bounded_rendezvous_lru`.
[[nodiscard]] std::optional<Policy> policyByName(std::string_view name, Policy base);

} // namespace tamarackcove
