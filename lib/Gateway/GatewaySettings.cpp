#include "tamarackcove/Gateway/GatewaySettings.h"

#include "tamarackcove/Observe/LogLevelName.h"
#include "tamarackcove/Settings/ReadIfPresent.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

static constexpr double BytesPerMb = 1024 * 1024;

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["name", "zone", "listen", "ready_listen", "internal_ports", "seeds"],
    "properties": {
        "name": {"type": "string", "minLength": 1, "maxLength": 128},
        "zone": {"type": "string", "minLength": 1, "maxLength": 128},
        "listen": {"type": "string"},
        "ready_listen": {"type": "string"},
        "metrics_listen": {"type": "string"},
        "internal_ports": {"type": "array", "minItems": 2, "maxItems": 2,
                           "items": {"type": "integer", "minimum": 1, "maximum": 65535}},
        "seeds": {"type": "array", "minItems": 1, "items": {"type": "string"}},
        "retry_ratio": {"type": "number", "minimum": 0},
        "retry_slack": {"type": "number", "minimum": 0},
        "retry_window_s": {"type": "number", "minimum": 1, "maximum": 86400},
        "grace_s": {"type": "number", "minimum": 1, "maximum": 86400},
        "admission_control": {"type": "boolean"},
        "memory_mb": {"type": "number", "minimum": 16, "maximum": 1048576},
        "max_descriptors": {"type": "integer", "minimum": 64, "maximum": 1048576},
        "log_level": {"enum": ["debug", "info", "warning", "error"]}
    }
})";

static milliseconds secondsAt(const nlohmann::json &settings, const char *key, milliseconds absent)
{
    const std::chrono::duration<double> value(settings.value(key, std::chrono::duration<double>(absent).count()));
    return std::chrono::round<milliseconds>(value);
}

Result<GatewaySettings, SettingsError> loadGatewaySettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    GatewaySettings settings;
    settings.name = json.at("name").get<std::string>();
    settings.zone = Zone(json.at("zone").get<std::string>());
    BOOST_OUTCOME_TRY(settings.listen, endpointAt(json, "listen"));
    BOOST_OUTCOME_TRY(settings.readyListen, endpointAt(json, "ready_listen"));
    if (json.contains("metrics_listen")) {
        BOOST_OUTCOME_TRY(settings.metricsListen, endpointAt(json, "metrics_listen"));
    }
    // The first internal port is for the protocol between control hosts, the next one for entries.
    settings.controlPort = static_cast<std::uint16_t>(json.at("internal_ports").at(0).get<int>() + 1);
    for (const auto &seed : json.at("seeds")) {
        const auto endpoint = Endpoint::parse(seed.get<std::string>());
        if (!endpoint) {
            return SettingsError{SettingsErrorCode::Invalid, "key [seeds]: each seed must have the form ip:port"};
        }
        settings.seeds.push_back(endpoint->host);
    }
    readIfPresent(json, "retry_ratio", settings.retryRatio);
    readIfPresent(json, "retry_slack", settings.retrySlack);
    settings.retryWindow = secondsAt(json, "retry_window_s", settings.retryWindow);
    settings.gracePeriod = secondsAt(json, "grace_s", settings.gracePeriod);
    if (json.contains("memory_mb")) {
        settings.memoryBytes = static_cast<std::size_t>(json.at("memory_mb").get<double>() * BytesPerMb);
    }
    if (json.contains("max_descriptors")) {
        settings.maxDescriptors = json.at("max_descriptors").get<std::size_t>();
    }
    readIfPresent(json, "admission_control", settings.admissionControl);
    settings.logLevel = logLevelOf(json.value("log_level", std::string("info")));
    return settings;
}

} // namespace tamarackcove
