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
        Endpoint replica;
    };

    std::string name;
    /// Administration API.
    Endpoint listen;
    /// Framed connections of entries.
    Endpoint peerListen;
    /// Framed connections of the other control processes; needed with peers.
    Endpoint replicaListen;
    std::vector<Peer> peers;
    std::filesystem::path dataFolder;
    /// Every availability zone; the store's partition quotas depend on their number, so all control processes have the
    /// same list.
    std::vector<Zone> zones;
    LogLevel logLevel = LogLevel::Info;
    milliseconds drainTimeout{5000};
    milliseconds minElectionTimeout{300};
    milliseconds maxElectionTimeout{600};
};

/// Reads and checks a settings file.
[[nodiscard]] Result<ControlSettings, SettingsError> loadControlSettings(const std::string &path);

} // namespace tamarackcove
