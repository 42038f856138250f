#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsError.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// The settings of an entry process that serves a deployment of announced servers.
struct GatewaySettings
{
    std::string name;
    Zone zone;
    /// Address for callers.
    Endpoint listen;
    /// Address of the readiness probe, which tells the balancer whether this entry takes new connections.
    Endpoint readyListen;
    /// Address for metrics; absent if they are not served.
    std::optional<Endpoint> metricsListen;
    /// Port on each control host for the framed protocol between entries and control hosts.
    std::uint16_t controlPort = 0;
    /// IP addresses of the control hosts to connect to first; further ones are learned from these.
    std::vector<std::string> seeds;
    /// Retry budget of each service, shared by all entries: in any window of retryWindow, the retries are at most
    /// retryRatio times the requests, plus retrySlack.
    double retryRatio = 0.2;
    double retrySlack = 0;
    milliseconds retryWindow{10000};
    /// Time from SIGTERM or SIGINT until the process is killed from outside; the shutdown must end before then.
    milliseconds gracePeriod{8000};
    /// Whether requests for an overloaded service are held or refused here.
    bool admissionControl = false;
    /// Memory and descriptors that this process may take; absent if they are not limited.
    std::optional<std::size_t> memoryBytes;
    std::optional<std::size_t> maxDescriptors;
    LogLevel logLevel = LogLevel::Info;
};

/// Reads and checks a settings file. Thread safe.
[[nodiscard]] Result<GatewaySettings, SettingsError> loadGatewaySettings(const std::string &path);

} // namespace tamarackcove
