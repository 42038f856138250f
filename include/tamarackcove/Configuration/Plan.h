#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationDelta.h"
#include "tamarackcove/Configuration/ConfigurationError.h"
#include "tamarackcove/Configuration/Intent.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarackcove {

/// A change of the version that a name without a version means. An empty version means none.
struct CurrentChange
{
    std::string name;
    std::string from;
    std::string to;
};

/// What confirming an intent changes, against the revision it was computed from.
struct Plan
{
    PlanId id;
    Revision base;
    std::shared_ptr<const Intent> intent;
    /// Every change, as entries will receive it.
    ConfigurationDelta changes;
    /// The adapters in `changes.put` that were not servable before.
    std::vector<AdapterRef> added;
    std::vector<CurrentChange> currentChanges;

    [[nodiscard]] bool empty() const;
};

/// Finds which other confirmed intent holds an adapter; an empty name when none does.
using AdapterOwner = std::function<IntentName(const AdapterRef &adapter)>;

/// Computes what an intent changes. The id of the plan is left empty.
/// Precondition: the intents are normalised; `confirmed` is the intent of this name in effect, or null.
[[nodiscard]] Result<Plan, ConfigurationError> computePlan(std::shared_ptr<const Intent> wanted,
                                                           const Intent *confirmed, const ServingConfiguration &serving,
                                                           const AdapterOwner &ownerOf);

} // namespace tamarackcove
