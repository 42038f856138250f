#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Configuration/ServingConfiguration.h"

#include <optional>
#include <vector>

namespace tamarackcove {

struct IntentAdapter
{
    AdapterRef adapter;
    BaseModel baseModel;
    /// Whether this becomes the current version of the adapter name; see AdapterRecord::current.
    bool current = false;

    bool operator==(const IntentAdapter &) const = default;
};

/// The adapters, service route and limits that an operator wants to be in force. A new intent replaces the previous one
/// of the same name; an intent without adapters removes the adapters of the previous one.
struct Intent
{
    IntentName name;
    ServiceName service;
    Priority priority = Priority::Normal;
    /// Sorted by name and version; see normalise().
    std::vector<IntentAdapter> adapters;
    /// Set if the service is a plain service, see ServiceRoute.
    std::optional<ServiceRoute> route;
    /// Absent values leave the values in force unchanged.
    std::optional<StoreLimits> store;
    std::optional<PolicyWeights> weights;

    /// Sorts the adapters.
    void normalise();
    /// The adapter of this intent, or null. Precondition: the adapters are sorted.
    [[nodiscard]] const IntentAdapter *find(const AdapterRef &adapter) const;
};

} // namespace tamarackcove
