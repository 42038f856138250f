#include "tamarackcove/Control/ControlSettings.h"

#include "tamarackcove/Observe/LogLevelName.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <nlohmann/json.hpp>
#include <set>

namespace tamarackcove {

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["name", "listen", "peer_listen", "data_folder", "zones"],
    "properties": {
        "name": {"type": "string", "minLength": 1},
        "listen": {"type": "string"},
        "peer_listen": {"type": "string"},
        "replica_listen": {"type": "string"},
        "peers": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": false,
                "required": ["name", "replica"],
                "properties": {"name": {"type": "string", "minLength": 1}, "replica": {"type": "string"}}
            }
        },
        "data_folder": {"type": "string", "minLength": 1},
        "zones": {"type": "array", "minItems": 1, "uniqueItems": true, "items": {"type": "string", "minLength": 1}},
        "log_level": {"type": "string", "enum": ["debug", "info", "warning", "error"]},
        "drain_timeout_ms": {"type": "integer", "minimum": 1, "maximum": 600000},
        "min_election_timeout_ms": {"type": "integer", "minimum": 50, "maximum": 60000},
        "max_election_timeout_ms": {"type": "integer", "minimum": 50, "maximum": 60000}
    }
})";

static SettingsError invalid(std::string detail)
{
    return SettingsError{SettingsErrorCode::Invalid, std::move(detail)};
}

static Result<void, SettingsError> readPeers(const nlohmann::json &json, ControlSettings &settings)
{
    std::set<std::string> names{settings.name};
    for (const auto &entry : json.value("peers", nlohmann::json::array())) {
        ControlSettings::Peer peer;
        peer.name = entry.at("name").get<std::string>();
        if (!names.insert(peer.name).second) {
            return invalid("key [peers]: the name " + peer.name + " is not unique in the control group");
        }
        BOOST_OUTCOME_TRY(peer.replicaEndpoint, endpointAt(entry, "replica"));
        settings.peers.push_back(std::move(peer));
    }
    if (json.contains("replica_listen")) {
        BOOST_OUTCOME_TRY(settings.replicaListen, endpointAt(json, "replica_listen"));
    } else if (!settings.peers.empty()) {
        return invalid("key [replica_listen]: required if there are peers");
    }
    return ok();
}

Result<ControlSettings, SettingsError> loadControlSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    ControlSettings settings;
    settings.name = json.at("name").get<std::string>();
    BOOST_OUTCOME_TRY(settings.listen, endpointAt(json, "listen"));
    BOOST_OUTCOME_TRY(settings.entryListen, endpointAt(json, "peer_listen"));
    BOOST_OUTCOME_TRY(readPeers(json, settings));
    BOOST_OUTCOME_TRY(checkEndpointsDiffer("listen", settings.listen, "peer_listen", settings.entryListen));
    if (json.contains("replica_listen")) {
        BOOST_OUTCOME_TRY(checkEndpointsDiffer("listen", settings.listen, "replica_listen", settings.replicaListen));
        BOOST_OUTCOME_TRY(
            checkEndpointsDiffer("peer_listen", settings.entryListen, "replica_listen", settings.replicaListen));
    }
    settings.dataFolder = json.at("data_folder").get<std::string>();
    for (const auto &zone : json.at("zones")) {
        settings.zones.emplace_back(zone.get<std::string>());
    }
    settings.logLevel = logLevelOf(json.value("log_level", std::string("info")));
    settings.drainTimeout = millisecondsAt(json, "drain_timeout_ms", settings.drainTimeout);
    settings.minElectionTimeout = millisecondsAt(json, "min_election_timeout_ms", settings.minElectionTimeout);
    settings.maxElectionTimeout = millisecondsAt(json, "max_election_timeout_ms", settings.maxElectionTimeout);
    if (settings.maxElectionTimeout <= settings.minElectionTimeout) {
        return invalid("key [max_election_timeout_ms]: must be above min_election_timeout_ms");
    }
    return settings;
}

} // namespace tamarackcove
