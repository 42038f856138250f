#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsError.h"

#include <filesystem>
#include <string>
#include <vector>

namespace tamarackcove {

/// The settings of a control process.
struct ControlSettings
{
    struct Peer
    {
        std::string name;
        Endpoint replicaEndpoint;
    };

    std::string name;
    /// Where the process accepts HTTP connections for the administration API.
    Endpoint listen;
    /// Where the process accepts framed connections of entries.
    Endpoint entryListen;
    /// Where the process accepts framed connections of the other control processes. Required if there are peers.
    Endpoint replicaListen;
    /// The other control processes of the group; empty in a group of one.
    std::vector<Peer> peers;
    std::filesystem::path dataFolder;
    /// All availability zones. Must be the same list in every control process, because the partition quota of a zone
    /// depends on the number of zones. The partition quota is the part of the store limits that a zone may use while it
    /// cannot reach the control group.
    std::vector<Zone> zones;
    LogLevel logLevel = LogLevel::Info;
    /// Limit for a graceful shutdown to wait for requests in progress.
    milliseconds drainTimeout{5000};
    milliseconds minElectionTimeout{300};
    milliseconds maxElectionTimeout{600};
};

/// Reads and checks a settings file.
[[nodiscard]] Result<ControlSettings, SettingsError> loadControlSettings(const std::string &path);

} // namespace tamarackcove
