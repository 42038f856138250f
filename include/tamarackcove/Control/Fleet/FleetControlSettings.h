#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsError.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// The settings of a control process that serves a deployment of announced servers.
struct FleetControlSettings
{
    std::string name;
    Zone zone;
    /// Where operators and servers call.
    Endpoint listen;
    /// Where metrics are served, if anywhere.
    std::optional<Endpoint> metricsListen;
    /// IP number of this host; control hosts know each other by it.
    std::string host;
    /// Framed protocols: between control hosts, and with entries. The same ports on all hosts.
    std::uint16_t replicaPort = 0;
    std::uint16_t entryPort = 0;
    /// IP numbers of control hosts to ask first; at the first start those that form the group.
    std::vector<std::string> seeds;
    /// Whether the whole system starts for the first time.
    bool firstStart = false;
    std::filesystem::path dataFolder;
    std::size_t maxVoters = 3;
    milliseconds heartbeatInterval{1000};
    /// Orders of two holders within this time are a conflict.
    milliseconds orderLease{3000};
    milliseconds drainTimeout{3000};
    LogLevel logLevel = LogLevel::Info;
};

/// Reads and checks a settings file. Thread safe.
[[nodiscard]] Result<FleetControlSettings, SettingsError> loadFleetControlSettings(const std::string &path);

} // namespace tamarackcove
