#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// Memory use and load times of a base model and its adapters.
struct ModelProfile
{
    BaseModel name;
    /// Memory for the weights of the model.
    double weightsMb = 0;
    /// Memory for each adapter of the model.
    double adapterMb = 0;
    /// Time to load the model from the weight store.
    milliseconds storeLoadTime{0};
    /// Time to load the model from the disk of the server.
    milliseconds diskLoadTime{0};
    /// Time to load the model from a copy in the memory of the server.
    milliseconds memoryLoadTime{0};
};

/// Capacity of the engines of a service. All engines of a service are alike.
struct EngineProfile
{
    /// Requests that one engine runs at the same time.
    int slots = 0;
    /// Adapters that one engine holds at the same time.
    int adapterSlots = 0;
    /// Memory of one engine for models and adapters.
    double weightsMb = 0;
    /// Memory of one engine for copies of weights that it no longer serves.
    double hostMemoryMb = 0;
    /// Memory of one engine for the requests that it holds, in tokens; 0 if not known. An engine crashes when its
    /// requests exceed it.
    double requestMemoryTokens = 0;
    /// Rate limit of model loads from the weight store, over all engines.
    double storeLoadsPerSecond = 0;
    std::vector<ModelProfile> models;

    /// Null when the service does not list the model.
    [[nodiscard]] const ModelProfile *find(const BaseModel &name) const;
};

/// A service and the properties that all its servers share.
struct ServiceProfile
{
    ServiceName name;
    std::string healthPath;
    /// Connections that one server accepts in total, from all its callers.
    int maxConnections = 0;
    /// Absent for plain services, which have no base model and adapters.
    std::optional<EngineProfile> engine;
};

} // namespace tamarackcove
