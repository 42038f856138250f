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
    /// What is announced instead of the listen address, such as the address of a fault proxy.
    std::optional<Endpoint> announceAs;
    bool service = false;
    std::string serviceName;
    std::string baseModel;
    int adapterSlots = 4;
    BatchCosts costs;
    bool refusesStaleFencing = true;
    /// Entries that take announcements.
    std::vector<Endpoint> announceTo;
    milliseconds announceInterval{1000};
    /// Without a store a load takes no time.
    std::optional<Endpoint> store;
    milliseconds loadTimeout{10000};
    std::size_t prefixCacheBlocks = 4096;
    /// Time a plain service takes for one request.
    milliseconds serviceTime{0};
    EngineFaults faults;
};

/// Reads and checks the settings file. Thread safe.
[[nodiscard]] Result<EngineSettings, SettingsError> loadEngineSettings(const std::string &path);

/// Changes the switches that the JSON object names; refuses unknown ones and leaves all as they are then. Thread safe.
[[nodiscard]] Result<void, SettingsError> changeFaults(EngineFaults &faults, const nlohmann::json &changes);

} // namespace tamarackcove
