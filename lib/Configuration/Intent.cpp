#include "tamarackcove/Configuration/Intent.h"

#include <algorithm>

namespace tamarackcove {

static bool isBefore(const IntentAdapter &left, const IntentAdapter &right)
{
    return left.adapter < right.adapter;
}

void Intent::normalise()
{
    std::sort(adapters.begin(), adapters.end(), isBefore);
}

const IntentAdapter *Intent::find(const AdapterRef &adapter) const
{
    const auto found
        = std::lower_bound(adapters.begin(), adapters.end(), adapter,
                           [](const IntentAdapter &entry, const AdapterRef &wanted) { return entry.adapter < wanted; });
    return found != adapters.end() && found->adapter == adapter ? &*found : nullptr;
}

} // namespace tamarackcove
