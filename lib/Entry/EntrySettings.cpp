#include "tamarackcove/Entry/EntrySettings.h"

#include "tamarackcove/Entry/Policy.h"
#include "tamarackcove/Observe/LogLevelName.h"
#include "tamarackcove/Settings/ReadIfPresent.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackcove {

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["name", "zone", "listen", "admin_listen"],
    "definitions": {
        "milliseconds": {"type": "integer", "minimum": 1, "maximum": 86400000},
        "count": {"type": "integer", "minimum": 1, "maximum": 1000000000},
        "name": {"type": "string", "minLength": 1, "maxLength": 128}
    },
    "properties": {
        "name": {"$ref": "#/definitions/name"},
        "zone": {"$ref": "#/definitions/name"},
        "listen": {"type": "string"},
        "admin_listen": {"type": "string"},
        "peer_listen": {"type": "string"},
        "control": {"type": "array", "items": {"type": "string"}},
        "peers": {"type": "array", "items": {
            "type": "object",
            "additionalProperties": false,
            "required": ["name", "zone", "peer", "http"],
            "properties": {
                "name": {"$ref": "#/definitions/name"},
                "zone": {"$ref": "#/definitions/name"},
                "peer": {"type": "string"},
                "http": {"type": "string"}
            }
        }},
        "policy": {"type": "string"},
        "trace_file": {"type": "string"},
        "log_level": {"enum": ["debug", "info", "warning", "error"]},
        "drain_timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "max_body_bytes": {"$ref": "#/definitions/count"},
        "max_header_bytes": {"$ref": "#/definitions/count"},
        "max_connections": {"$ref": "#/definitions/count"},
        "idle_timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "request_timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "write_timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "max_running": {"$ref": "#/definitions/count"},
        "max_queued": {"$ref": "#/definitions/count"},
        "max_waiting_for_load": {"$ref": "#/definitions/count"},
        "max_waiting_per_adapter": {"$ref": "#/definitions/count"},
        "max_wait_ms": {"$ref": "#/definitions/milliseconds"},
        "progress_timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "connect_timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "max_idle_connections_per_target": {"$ref": "#/definitions/count"},
        "target_idle_limit_ms": {"$ref": "#/definitions/milliseconds"},
        "static": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
                "adapters": {"type": "array", "items": {
                    "type": "object",
                    "additionalProperties": false,
                    "required": ["name", "version", "base_model"],
                    "properties": {
                        "name": {"$ref": "#/definitions/name"},
                        "version": {"$ref": "#/definitions/name"},
                        "base_model": {"$ref": "#/definitions/name"},
                        "service": {"type": "string"},
                        "current": {"type": "boolean"}
                    }
                }},
                "services": {"type": "array", "items": {
                    "type": "object",
                    "additionalProperties": false,
                    "required": ["name"],
                    "properties": {
                        "name": {"$ref": "#/definitions/name"},
                        "repeatable": {"type": "boolean"},
                        "timeout_ms": {"$ref": "#/definitions/milliseconds"},
                        "share_percent": {"type": "integer", "minimum": 1, "maximum": 100}
                    }
                }},
                "targets": {"type": "array", "items": {
                    "type": "object",
                    "additionalProperties": false,
                    "required": ["id", "endpoint"],
                    "properties": {
                        "id": {"$ref": "#/definitions/name"},
                        "endpoint": {"type": "string"},
                        "service": {"type": "string"},
                        "base_model": {"type": "string"},
                        "max_batch": {"$ref": "#/definitions/count"},
                        "adapters": {"type": "array", "items": {"type": "string"}}
                    }
                }}
            }
        }
    }
})";

static SettingsError invalid(std::string detail)
{
    return SettingsError{SettingsErrorCode::Invalid, std::move(detail)};
}

static void readLimits(const nlohmann::json &json, EntrySettings &settings)
{
    readIfPresent(json, "drain_timeout_ms", settings.drainTimeout);
    readIfPresent(json, "max_body_bytes", settings.limits.maxBodyBytes);
    readIfPresent(json, "max_header_bytes", settings.limits.maxHeaderBytes);
    readIfPresent(json, "max_connections", settings.limits.maxConnections);
    readIfPresent(json, "idle_timeout_ms", settings.limits.idleTimeout);
    readIfPresent(json, "request_timeout_ms", settings.limits.requestTimeout);
    readIfPresent(json, "write_timeout_ms", settings.limits.writeTimeout);
    readIfPresent(json, "max_running", settings.path.admission.maxRunning);
    readIfPresent(json, "max_queued", settings.path.admission.maxQueued);
    readIfPresent(json, "max_waiting_for_load", settings.path.loadWait.queue.maxWaiting);
    readIfPresent(json, "max_waiting_per_adapter", settings.path.loadWait.queue.maxPerAdapter);
    readIfPresent(json, "max_wait_ms", settings.path.maxTargetWait);
    readIfPresent(json, "progress_timeout_ms", settings.dispatch.progressTimeout);
    readIfPresent(json, "connect_timeout_ms", settings.connections.connectTimeout);
    readIfPresent(json, "max_idle_connections_per_target", settings.connections.maxIdlePerTarget);
    readIfPresent(json, "target_idle_limit_ms", settings.connections.idleLimit);
}

static Result<TargetView, SettingsError> readTarget(const nlohmann::json &json, const Zone &zone)
{
    TargetView target;
    target.id = TargetId(json.at("id").get<std::string>());
    target.zone = zone;
    BOOST_OUTCOME_TRY(target.endpoint, endpointAt(json, "endpoint"));
    target.service = ServiceName(json.value("service", std::string()));
    target.kind = target.service.empty() ? TargetKind::Engine : TargetKind::Service;
    target.baseModel = BaseModel(json.value("base_model", std::string()));
    target.maxBatch = json.value("max_batch", 1);
    for (const auto &text : json.value("adapters", std::vector<std::string>())) {
        const auto adapter = AdapterRef::parse(text);
        if (!adapter) {
            return invalid("key [static][targets]: " + text + " is not of the form name@version");
        }
        target.adapters.emplace(*adapter, ResidencyState::Resident);
    }
    return target;
}

static Result<void, SettingsError> readStatic(const nlohmann::json &json, EntrySettings &settings)
{
    settings.isStatic = true;
    for (const auto &adapter : json.value("adapters", nlohmann::json::array())) {
        AdapterRecord record;
        record.baseModel = BaseModel(adapter.at("base_model").get<std::string>());
        record.service = ServiceName(adapter.value("service", std::string("default")));
        record.current = adapter.value("current", false);
        settings.adapters.emplace_back(
            AdapterRef(adapter.at("name").get<std::string>(), adapter.at("version").get<std::string>()), record);
    }
    for (const auto &service : json.value("services", nlohmann::json::array())) {
        ServiceRoute route;
        route.repeatable = service.value("repeatable", route.repeatable);
        route.timeout = millisecondsAt(service, "timeout_ms", route.timeout);
        route.sharePercent = service.value("share_percent", route.sharePercent);
        settings.services.emplace_back(ServiceName(service.at("name").get<std::string>()), route);
    }
    for (const auto &target : json.value("targets", nlohmann::json::array())) {
        BOOST_OUTCOME_TRY(auto view, readTarget(target, settings.zone));
        settings.targets.push_back(std::move(view));
    }
    return ok();
}

static Result<void, SettingsError> readPeers(const nlohmann::json &json, EntrySettings &settings)
{
    for (const auto &text : json.value("control", std::vector<std::string>())) {
        const auto endpoint = Endpoint::parse(text);
        if (!endpoint) {
            return invalid("key [control]: " + text + " is not an IP address and port, as in 127.0.0.1:8080");
        }
        settings.control.push_back(*endpoint);
    }
    for (const auto &entry : json.value("peers", nlohmann::json::array())) {
        ZonePeer peer;
        peer.id = EntryId(entry.at("name").get<std::string>());
        peer.zone = Zone(entry.at("zone").get<std::string>());
        BOOST_OUTCOME_TRY(peer.peer, endpointAt(entry, "peer"));
        BOOST_OUTCOME_TRY(peer.http, endpointAt(entry, "http"));
        settings.peers.push_back(std::move(peer));
    }
    return ok();
}

Result<EntrySettings, SettingsError> loadEntrySettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    EntrySettings settings;
    settings.name = EntryId(json.at("name").get<std::string>());
    settings.zone = Zone(json.at("zone").get<std::string>());
    BOOST_OUTCOME_TRY(settings.listen, endpointAt(json, "listen"));
    BOOST_OUTCOME_TRY(settings.adminListen, endpointAt(json, "admin_listen"));
    BOOST_OUTCOME_TRY(checkEndpointsDiffer("listen", settings.listen, "admin_listen", settings.adminListen));
    settings.traceFile = json.value("trace_file", std::string());
    settings.logLevel = logLevelOf(json.value("log_level", std::string("info")));
    settings.policy = json.value("policy", settings.policy);
    const auto policies = policyNames();
    if (std::find(policies.begin(), policies.end(), settings.policy) == policies.end()) {
        return invalid("key [policy]: unknown policy " + settings.policy + ", use default");
    }
    readLimits(json, settings);
    BOOST_OUTCOME_TRY(readPeers(json, settings));
    if (const auto fixed = json.find("static"); fixed != json.end()) {
        BOOST_OUTCOME_TRY(readStatic(*fixed, settings));
        return settings;
    }
    if (!json.contains("peer_listen")) {
        return invalid("key [peer_listen] is required unless [static] is given");
    }
    BOOST_OUTCOME_TRY(settings.peerListen, endpointAt(json, "peer_listen"));
    BOOST_OUTCOME_TRY(checkEndpointsDiffer("listen", settings.listen, "peer_listen", settings.peerListen));
    if (settings.control.empty()) {
        return invalid("key [control] must name at least one control host unless [static] is given");
    }
    return settings;
}

} // namespace tamarackcove
