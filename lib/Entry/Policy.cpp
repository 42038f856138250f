#include "tamarackcove/Entry/Policy.h"

#include "tamarackcove/Residency/Baselines.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

// Rendezvous hashing skips a target whose request load exceeds this multiple of the mean request load.
static constexpr double RendezvousBound = 1.25;

static Policy baselinePolicy(Router::ChooseTarget chooseTarget, Policy base)
{
    base.routing.chooseTarget = std::move(chooseTarget);
    base.routing.ignoreResidency = true;
    base.routing.useHomeZone = false;
    return base;
}

double packThreshold(const PolicyWeights &weights)
{
    constexpr double ThresholdAtEqualWeights = 0.75;
    constexpr double MaxThreshold = 0.95;
    const auto total = weights.loadStall + weights.batchEfficiency;
    if (total <= 0) {
        return ThresholdAtEqualWeights;
    }
    return std::min(MaxThreshold, 2 * ThresholdAtEqualWeights * weights.batchEfficiency / total);
}

std::vector<std::string_view> policyNames()
{
    return {"default", "least_loaded_lru", "least_loaded_lfu", "bounded_rendezvous_lru"};
}

std::optional<Policy> policyByName(std::string_view name, Policy base)
{
    if (name == "default") {
        return base;
    }
    if (name == "least_loaded_lru") {
        base.residency = leastLoadedWithLru(std::move(base.residency));
        return baselinePolicy(Router::leastLoaded(), std::move(base));
    }
    if (name == "least_loaded_lfu") {
        base.residency = leastLoadedWithLfu(std::move(base.residency));
        return baselinePolicy(Router::leastLoaded(), std::move(base));
    }
    if (name == "bounded_rendezvous_lru") {
        base.residency = leastLoadedWithLru(std::move(base.residency));
        return baselinePolicy(Router::boundedRendezvous(RendezvousBound), std::move(base));
    }
    return std::nullopt;
}

} // namespace tamarackcove
