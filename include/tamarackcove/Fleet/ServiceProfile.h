#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// A base model with its adapters.
struct ModelProfile
{
    BaseModel name;
    double weightsMb = 0;
    double adapterMb = 0;
    /// From the weight store, from the server's disk, and from its memory.
    milliseconds storeLoad{0};
    milliseconds diskLoad{0};
    milliseconds memoryLoad{0};
};

/// What the engines of a service can hold.
struct EngineProfile
{
    /// Requests that one engine runs at once.
    int slots = 0;
    int adapterSlots = 0;
    double weightsMb = 0;
    /// Memory in which an engine keeps copies of weights that it no longer serves.
    double hostMemoryMb = 0;
    /// Loads of models from the weight store, over all engines.
    double storeLoadsPerSecond = 0;
    std::vector<ModelProfile> models;

    [[nodiscard]] const ModelProfile *find(const BaseModel &name) const;
};

/// A service and what its servers have in common.
struct ServiceProfile
{
    ServiceName name;
    std::string healthPath;
    /// Connections that one server accepts from all callers together.
    int maxConnections = 0;
    /// Absent for plain services.
    std::optional<EngineProfile> engine;
};

} // namespace tamarackcove
