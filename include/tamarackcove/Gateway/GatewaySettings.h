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
    /// Where callers connect.
    Endpoint listen;
    /// Where the balancer asks whether this entry takes new connections.
    Endpoint readyListen;
    /// Where metrics are served, if anywhere.
    std::optional<Endpoint> metricsListen;
    /// Port of the framed protocol with entries on each control host.
    std::uint16_t controlPort = 0;
    /// IP numbers of control hosts to ask first.
    std::vector<std::string> seeds;
    /// The retry budget that all entries share, for each service: a share of the requests plus a fixed number, in any
    /// window.
    double retryRatio = 0.2;
    double retrySlack = 0;
    milliseconds retryWindow{10000};
    /// The process is killed this long after it was told to stop.
    milliseconds grace{8000};
    LogLevel logLevel = LogLevel::Info;
};

/// Reads and checks a settings file. Thread safe.
[[nodiscard]] Result<GatewaySettings, SettingsError> loadGatewaySettings(const std::string &path);

} // namespace tamarackcove
