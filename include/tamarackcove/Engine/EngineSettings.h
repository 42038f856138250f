#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Engine/BatchScheduler.h"
#include "tamarackcove/Engine/EngineFaults.h"
#include "tamarackcove/Settings/SettingsError.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// Settings of `tamarackcove-fake-engine`.
struct EngineSettings
{
    std::string name;
    std::string zone;
    Endpoint listen;
    /// Address to announce instead of the listen address, for example that of a fault proxy.
    std::optional<Endpoint> announceAs;
    /// Whether the process provides a plain service, one without a base model and adapters, instead of an engine.
    bool isPlainService = false;
    std::string serviceName;
    std::string baseModel;
    int adapterSlots = 4;
    BatchCosts costs;
    bool refusesStaleFencing = true;
    /// Entries to which announcements are sent.
    std::vector<Endpoint> announceTo;
    milliseconds announceInterval{1000};
    /// Weight store from which adapters are loaded; without one, a load takes no time.
    std::optional<Endpoint> store;
    milliseconds loadTimeout{10000};
    std::size_t prefixCacheBlocks = 4096;
    /// Time for which a plain service processes each request.
    milliseconds serviceTime{0};
    EngineFaults faults;
};

/// Reads and checks the settings file. Thread safe.
[[nodiscard]] Result<EngineSettings, SettingsError> loadEngineSettings(const std::string &path);

/// Sets the faults named in the JSON object. If the object has an unknown name or an invalid value, returns an error
/// and changes nothing. Thread safe.
[[nodiscard]] Result<void, SettingsError> changeFaults(EngineFaults &faults, const nlohmann::json &changes);

} // namespace tamarackcove
