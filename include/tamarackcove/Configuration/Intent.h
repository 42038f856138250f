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
    bool current = false;

    bool operator==(const IntentAdapter &) const = default;
};

/// What an operator wants to be servable. A new intent of the same name replaces the one before; one without adapters
/// withdraws them.
struct Intent
{
    IntentName name;
    ServiceName service;
    Priority priority = Priority::Normal;
    /// In the order of their names and versions; see normalise().
    std::vector<IntentAdapter> adapters;
    /// Set when the service is a plain service.
    std::optional<ServiceRoute> route;
    /// Absent values leave those in effect unchanged.
    std::optional<StoreLimits> store;
    std::optional<PolicyWeights> weights;

    /// Sorts the adapters.
    void normalise();
    /// Precondition: the adapters are sorted.
    [[nodiscard]] const IntentAdapter *find(const AdapterRef &adapter) const;
};

} // namespace tamarackcove
