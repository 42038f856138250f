#include "tamarackcove/Residency/Baselines.h"

#include "tamarackcove/Targets/TargetView.h"

#include <algorithm>

namespace tamarackcove {

static const TargetView *leastLoaded(const std::vector<const TargetView *> &candidates)
{
    return *std::min_element(candidates.begin(), candidates.end(), [](const auto *left, const auto *right) {
        return left->running + left->waiting < right->running + right->waiting;
    });
}

static ResidencyPlanner::Options baselineOptions(ResidencyPlanner::Options options)
{
    options.orderByValue = false;
    options.requireValueAboveCost = false;
    options.loadCopies = false;
    options.placement = leastLoaded;
    return options;
}

ResidencyPlanner::Options leastLoadedWithLru(ResidencyPlanner::Options base)
{
    auto options = baselineOptions(std::move(base));
    options.evictionCost = [](const ResidencyPlanner::EvictionCandidate &candidate, TimePoint now) {
        return -std::chrono::duration<double>(now - candidate.lastUse).count();
    };
    return options;
}

ResidencyPlanner::Options leastLoadedWithLfu(ResidencyPlanner::Options base)
{
    auto options = baselineOptions(std::move(base));
    options.evictionCost = [](const ResidencyPlanner::EvictionCandidate &candidate, TimePoint) {
        return candidate.useCount;
    };
    return options;
}

} // namespace tamarackcove
