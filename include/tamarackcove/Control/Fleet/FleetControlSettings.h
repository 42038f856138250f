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
    /// Address for calls of operators and servers.
    Endpoint listen;
    /// Address for metrics; absent if they are not served.
    std::optional<Endpoint> metricsListen;
    /// IP address of this host, which is also its name in the group of control hosts.
    std::string host;
    /// Ports of the framed protocols between control hosts, and between entries and control hosts; the same on all
    /// hosts.
    std::uint16_t replicaPort = 0;
    std::uint16_t entryPort = 0;
    /// IP addresses of the control hosts to connect to first; at the first start, the hosts that form the group.
    std::vector<std::string> seeds;
    /// Whether the whole deployment starts for the first time, so that the seeds may form the group.
    bool firstStart = false;
    std::filesystem::path dataFolder;
    std::size_t maxVoters = 3;
    milliseconds heartbeatInterval{1000};
    /// Time that a new leader waits before it takes the order duty (the role of the one control host that may order
    /// servers to load and unload) from a former holder that still runs. Orders of two holders to one server within
    /// this time are a conflict.
    milliseconds orderLease{3000};
    /// How long what crashes servers stays in quarantine. After it, one more crash puts it back.
    milliseconds quarantineTime{std::chrono::minutes(30)};
    /// The same for what requests that are not equal have in common: sound ones may have it too.
    milliseconds pathQuarantineTime{std::chrono::minutes(1)};
    /// Time for the calls in progress to end at shutdown.
    milliseconds drainTimeout{3000};
    /// Memory and descriptors that this process may take; absent if they are not limited.
    std::optional<std::size_t> memoryBytes;
    std::optional<std::size_t> maxDescriptors;
    LogLevel logLevel = LogLevel::Info;
};

/// Reads and checks a settings file. Thread safe.
[[nodiscard]] Result<FleetControlSettings, SettingsError> loadFleetControlSettings(const std::string &path);

} // namespace tamarackcove
