#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationDelta.h"
#include "tamarackcove/Configuration/ConfigurationError.h"
#include "tamarackcove/Configuration/Intent.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarackcove {

/// A change of the current version of an adapter name: the version that serves requests which name no version. An empty
/// version means that the name has no current version.
struct CurrentVersionChange
{
    std::string name;
    std::string from;
    std::string to;
};

/// The changes that confirming an intent makes to the serving configuration.
struct Plan
{
    PlanId id;
    /// The revision that the changes were computed against.
    Revision base;
    std::shared_ptr<const Intent> intent;
    /// All changes, as the delta that entries receive after the confirmation.
    ConfigurationDelta changes;
    /// The adapters in `changes.put` that were not servable before.
    std::vector<AdapterRef> added;
    std::vector<CurrentVersionChange> currentVersionChanges;

    /// Whether confirming the plan changes nothing.
    [[nodiscard]] bool empty() const;
};

/// Returns the other confirmed intent that contains the adapter, or an empty name if there is none.
using AdapterOwnerLookup = std::function<IntentName(const AdapterRef &adapter)>;

/// Computes the changes that an intent makes. The id of the plan is left empty.
/// Precondition: the intents are normalised; `confirmed` is the confirmed intent of the same name, or null.
[[nodiscard]] Result<Plan, ConfigurationError> computePlan(std::shared_ptr<const Intent> wanted,
                                                           const Intent *confirmed, const ServingConfiguration &serving,
                                                           const AdapterOwnerLookup &findOwner);

} // namespace tamarackcove
