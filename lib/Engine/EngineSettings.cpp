#include "tamarackcove/Engine/EngineSettings.h"

#include "tamarackcove/Settings/SettingsFile.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

static constexpr std::string_view FaultSchema = R"({
    "type": "object",
    "additionalProperties": false,
    "properties": {
        "load_report_lag_ms": {"type": "integer", "minimum": 0},
        "adapter_list_lag_ms": {"type": "integer", "minimum": 0},
        "adapter_list_gap": {"type": "number", "minimum": 0, "maximum": 1},
        "mute_announcements": {"type": "boolean"},
        "load_fail_probability": {"type": "number", "minimum": 0, "maximum": 1},
        "fail_next_loads": {"type": "integer", "minimum": 0},
        "silence_open_connections": {"type": "boolean"},
        "crash_marker": {"type": "string"},
        "slow_factor": {"type": "number", "exclusiveMinimum": 0},
        "piece_delay_ms": {"type": "integer", "minimum": 0},
        "repeat_pieces": {"type": "number", "minimum": 0, "maximum": 1},
        "reorder_pieces": {"type": "number", "minimum": 0, "maximum": 1},
        "break_next_streams": {"type": "integer", "minimum": 0},
        "stall_next_streams": {"type": "integer", "minimum": 0}
    }
})";

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["name", "zone", "listen"],
    "properties": {
        "name": {"type": "string", "minLength": 1},
        "zone": {"type": "string", "minLength": 1},
        "listen": {"type": "string"},
        "announce_as": {"type": "string"},
        "kind": {"enum": ["engine", "service"]},
        "service": {"type": "string"},
        "base_model": {"type": "string"},
        "adapter_slots": {"type": "integer", "minimum": 1},
        "max_batch": {"type": "integer", "minimum": 1},
        "step_base_us": {"type": "integer", "minimum": 0},
        "step_per_sequence_us": {"type": "integer", "minimum": 0},
        "prefill_per_token_us": {"type": "integer", "minimum": 0},
        "fencing": {"enum": ["refuses", "ignores"]},
        "announce_to": {"type": "array", "items": {"type": "string"}},
        "announce_interval_ms": {"type": "integer", "minimum": 10},
        "store": {"type": "string"},
        "load_timeout_ms": {"type": "integer", "minimum": 1},
        "prefix_cache_blocks": {"type": "integer", "minimum": 1},
        "service_time_ms": {"type": "integer", "minimum": 0},
        "log_level": {"type": "string"},
        "faults": {"type": "object"}
    }
})";

template<typename Value>
static void read(const nlohmann::json &json, const char *key, Value &value)
{
    const auto found = json.find(key);
    if (found != json.end()) {
        value = found->get<Value>();
    }
}

static void readTime(const nlohmann::json &json, std::string_view key, milliseconds &value)
{
    value = millisecondsAt(json, key, value);
}

Result<void, SettingsError> changeFaults(EngineFaults &faults, const nlohmann::json &changes)
{
    BOOST_OUTCOME_TRY(const auto checked, checkSettings(changes.dump(), FaultSchema));
    readTime(checked, "load_report_lag_ms", faults.loadReportLag);
    readTime(checked, "adapter_list_lag_ms", faults.adapterListLag);
    read(checked, "adapter_list_gap", faults.adapterListGap);
    read(checked, "mute_announcements", faults.muteAnnouncements);
    read(checked, "load_fail_probability", faults.loadFailProbability);
    read(checked, "fail_next_loads", faults.failNextLoads);
    read(checked, "silence_open_connections", faults.silenceOpenConnections);
    read(checked, "crash_marker", faults.crashMarker);
    read(checked, "slow_factor", faults.slowFactor);
    readTime(checked, "piece_delay_ms", faults.pieceDelay);
    read(checked, "repeat_pieces", faults.repeatPieces);
    read(checked, "reorder_pieces", faults.reorderPieces);
    read(checked, "break_next_streams", faults.breakNextStreams);
    read(checked, "stall_next_streams", faults.stallNextStreams);
    return ok();
}

static Duration microsecondsAt(const nlohmann::json &json, const char *key)
{
    std::int64_t value = 0;
    read(json, key, value);
    return microseconds(value);
}

Result<EngineSettings, SettingsError> loadEngineSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    EngineSettings settings;
    read(json, "name", settings.name);
    read(json, "zone", settings.zone);
    BOOST_OUTCOME_TRY(settings.listen, endpointAt(json, "listen"));
    if (json.contains("announce_as")) {
        BOOST_OUTCOME_TRY(settings.announceAs, endpointAt(json, "announce_as"));
    }
    if (json.contains("store")) {
        BOOST_OUTCOME_TRY(settings.store, endpointAt(json, "store"));
    }
    settings.service = json.value("kind", "engine") == "service";
    read(json, "service", settings.serviceName);
    read(json, "base_model", settings.baseModel);
    read(json, "adapter_slots", settings.adapterSlots);
    read(json, "max_batch", settings.costs.maxBatch);
    settings.costs.stepBase = microsecondsAt(json, "step_base_us");
    settings.costs.stepPerSequence = microsecondsAt(json, "step_per_sequence_us");
    settings.costs.prefillPerToken = microsecondsAt(json, "prefill_per_token_us");
    settings.refusesStaleFencing = json.value("fencing", "refuses") == "refuses";
    for (const auto &text : json.value("announce_to", std::vector<std::string>())) {
        BOOST_OUTCOME_TRY(settings.announceTo.emplace_back(), endpointAt({{"announce_to", text}}, "announce_to"));
    }
    readTime(json, "announce_interval_ms", settings.announceInterval);
    readTime(json, "load_timeout_ms", settings.loadTimeout);
    read(json, "prefix_cache_blocks", settings.prefixCacheBlocks);
    readTime(json, "service_time_ms", settings.serviceTime);
    if (json.contains("faults")) {
        BOOST_OUTCOME_TRY(changeFaults(settings.faults, json["faults"]));
    }
    return settings;
}

} // namespace tamarackcove
