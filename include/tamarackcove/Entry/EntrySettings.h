#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/AdapterCatalog.h"
#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Entry/Callers/RequestPath.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Entry/Targets/TargetConnections.h"
#include "tamarackcove/Entry/ZoneOptions.h"
#include "tamarackcove/Http/HttpLimits.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsError.h"
#include "tamarackcove/Targets/TargetView.h"

#include <string>
#include <utility>
#include <vector>

namespace tamarackcove {

/// Settings of `tamarackcove-entry`; the defaults are those of the settings documentation.
struct EntrySettings
{
    EntryId name;
    Zone zone;
    Endpoint listen;
    Endpoint adminListen;
    Endpoint peerListen;
    std::vector<Endpoint> control;
    std::vector<ZonePeer> peers;
    /// One of policyNames().
    std::string policy = "default";
    std::string traceFile;
    LogLevel logLevel = LogLevel::Info;
    /// How long a shutdown waits for requests in progress before it cancels them.
    milliseconds drainTimeout = seconds(120);
    HttpLimits limits;
    RequestPath::Options path;
    DispatchContext::Options dispatch;
    TargetConnections::Options connections;
    /// The entry runs without a control group and a zone; `adapters`, `services` and `targets` are its configuration.
    bool isStatic = false;
    std::vector<std::pair<AdapterRef, AdapterRecord>> adapters;
    std::vector<std::pair<ServiceName, ServiceRoute>> services;
    std::vector<TargetView> targets;
};

/// Reads the settings file and checks it against the schema and the rules between keys. Thread safe.
[[nodiscard]] Result<EntrySettings, SettingsError> loadEntrySettings(const std::string &path);

} // namespace tamarackcove
