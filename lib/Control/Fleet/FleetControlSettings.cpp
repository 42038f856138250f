#include "tamarackcove/Control/Fleet/FleetControlSettings.h"

#include "tamarackcove/Observe/LogLevelName.h"
#include "tamarackcove/Settings/ReadIfPresent.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

static constexpr double BytesPerMb = 1024 * 1024;

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["name", "zone", "listen", "internal_ports", "seeds", "first_start", "data_folder"],
    "properties": {
        "name": {"type": "string", "minLength": 1, "maxLength": 128},
        "zone": {"type": "string", "minLength": 1, "maxLength": 128},
        "listen": {"type": "string"},
        "metrics_listen": {"type": "string"},
        "internal_ports": {"type": "array", "minItems": 2, "maxItems": 2,
                           "items": {"type": "integer", "minimum": 1, "maximum": 65535}},
        "seeds": {"type": "array", "minItems": 1, "items": {"type": "string"}},
        "first_start": {"type": "boolean"},
        "data_folder": {"type": "string", "minLength": 1},
        "losses_tolerated": {"type": "integer", "minimum": 0, "maximum": 4},
        "heartbeat_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
        "order_lease_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
        "drain_timeout_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
        "memory_mb": {"type": "number", "minimum": 16, "maximum": 1048576},
        "max_descriptors": {"type": "integer", "minimum": 64, "maximum": 1048576},
        "log_level": {"enum": ["debug", "info", "warning", "error"]}
    }
})";

Result<FleetControlSettings, SettingsError> loadFleetControlSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    FleetControlSettings settings;
    settings.name = json.at("name").get<std::string>();
    settings.zone = Zone(json.at("zone").get<std::string>());
    BOOST_OUTCOME_TRY(settings.listen, endpointAt(json, "listen"));
    if (json.contains("metrics_listen")) {
        BOOST_OUTCOME_TRY(settings.metricsListen, endpointAt(json, "metrics_listen"));
    }
    settings.host = settings.listen.host;
    settings.replicaPort = static_cast<std::uint16_t>(json.at("internal_ports").at(0).get<int>());
    settings.entryPort = static_cast<std::uint16_t>(settings.replicaPort + 1);
    for (const auto &seed : json.at("seeds")) {
        const auto endpoint = Endpoint::parse(seed.get<std::string>());
        if (!endpoint) {
            return SettingsError{SettingsErrorCode::Invalid, "key [seeds]: each seed must have the form ip:port"};
        }
        settings.seeds.push_back(endpoint->host);
    }
    settings.firstStart = json.at("first_start").get<bool>();
    settings.dataFolder = json.at("data_folder").get<std::string>();
    // A majority must remain when `losses` voters are lost.
    std::size_t losses = 1;
    readIfPresent(json, "losses_tolerated", losses);
    settings.maxVoters = 2 * std::max<std::size_t>(losses, 1) + 1;
    readIfPresent(json, "heartbeat_ms", settings.heartbeatInterval);
    readIfPresent(json, "order_lease_ms", settings.orderLease);
    readIfPresent(json, "drain_timeout_ms", settings.drainTimeout);
    if (json.contains("memory_mb")) {
        settings.memoryBytes = static_cast<std::size_t>(json.at("memory_mb").get<double>() * BytesPerMb);
    }
    if (json.contains("max_descriptors")) {
        settings.maxDescriptors = json.at("max_descriptors").get<std::size_t>();
    }
    settings.logLevel = logLevelOf(json.value("log_level", std::string("info")));
    return settings;
}

} // namespace tamarackcove
