#pragma once

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

/// The names that policyByName() knows, the default first.
[[nodiscard]] std::vector<std::string_view> policyNames();

/// The policy of this name with the given options as its base, or nothing when there is none.
///
/// `default`, and the baselines `least_loaded_lru`, `least_loaded_lfu` and `bounded_rendezvous_lru`.
[[nodiscard]] std::optional<Policy> policyByName(std::string_view name, Policy base);

} // namespace tamarackcove
