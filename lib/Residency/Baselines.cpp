#include "tamarackcove/Residency/Baselines.h"

#include "tamarackcove/Targets/TargetView.h"

#include <algorithm>

namespace tamarackcove {

static const TargetView *emptiest(const std::vector<const TargetView *> &candidates)
{
    return *std::min_element(candidates.begin(), candidates.end(), [](const auto *left, const auto *right) {
        return left->running + left->waiting < right->running + right->waiting;
    });
}

static ResidencyPlanner::Options plainOptions(ResidencyPlanner::Options options)
{
    options.orderByValue = false;
    options.compareWorth = false;
    options.loadAhead = false;
    options.placement = emptiest;
    return options;
}

ResidencyPlanner::Options leastLoadedWithLru(ResidencyPlanner::Options base)
{
    auto options = plainOptions(std::move(base));
    options.evictionCost = [](const ResidencyPlanner::Candidate &candidate, TimePoint now) {
        return -std::chrono::duration<double>(now - candidate.lastUse).count();
    };
    return options;
}

ResidencyPlanner::Options leastLoadedWithLfu(ResidencyPlanner::Options base)
{
    auto options = plainOptions(std::move(base));
    options.evictionCost = [](const ResidencyPlanner::Candidate &candidate, TimePoint) {
        return candidate.useCount;
    };
    return options;
}

} // namespace tamarackcove
