#include "tamarackcove/Engine/EngineSettings.h"

#include "tamarackcove/Settings/ReadIfPresent.h"
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

Result<void, SettingsError> changeFaults(EngineFaults &faults, const nlohmann::json &changes)
{
    BOOST_OUTCOME_TRY(const auto checked, checkSettings(changes.dump(), FaultSchema));
    readIfPresent(checked, "load_report_lag_ms", faults.loadReportLag);
    readIfPresent(checked, "adapter_list_lag_ms", faults.adapterListLag);
    readIfPresent(checked, "adapter_list_gap", faults.adapterListOmissionProbability);
    readIfPresent(checked, "mute_announcements", faults.suppressAnnouncements);
    readIfPresent(checked, "load_fail_probability", faults.loadFailProbability);
    readIfPresent(checked, "fail_next_loads", faults.failNextLoads);
    readIfPresent(checked, "silence_open_connections", faults.silenceOpenConnections);
    readIfPresent(checked, "crash_marker", faults.crashMarker);
    readIfPresent(checked, "slow_factor", faults.slowFactor);
    readIfPresent(checked, "piece_delay_ms", faults.pieceDelay);
    readIfPresent(checked, "repeat_pieces", faults.pieceRepeatProbability);
    readIfPresent(checked, "reorder_pieces", faults.pieceReorderProbability);
    readIfPresent(checked, "break_next_streams", faults.breakNextStreams);
    readIfPresent(checked, "stall_next_streams", faults.stallNextStreams);
    return ok();
}

static Duration microsecondsAt(const nlohmann::json &json, const char *key)
{
    std::int64_t value = 0;
    readIfPresent(json, key, value);
    return microseconds(value);
}

Result<EngineSettings, SettingsError> loadEngineSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    EngineSettings settings;
    readIfPresent(json, "name", settings.name);
    readIfPresent(json, "zone", settings.zone);
    BOOST_OUTCOME_TRY(settings.listen, endpointAt(json, "listen"));
    if (json.contains("announce_as")) {
        BOOST_OUTCOME_TRY(settings.announceAs, endpointAt(json, "announce_as"));
    }
    if (json.contains("store")) {
        BOOST_OUTCOME_TRY(settings.store, endpointAt(json, "store"));
    }
    settings.isPlainService = json.value("kind", "engine") == "service";
    readIfPresent(json, "service", settings.serviceName);
    readIfPresent(json, "base_model", settings.baseModel);
    readIfPresent(json, "adapter_slots", settings.adapterSlots);
    readIfPresent(json, "max_batch", settings.costs.maxBatch);
    settings.costs.stepBase = microsecondsAt(json, "step_base_us");
    settings.costs.stepPerSequence = microsecondsAt(json, "step_per_sequence_us");
    settings.costs.prefillPerToken = microsecondsAt(json, "prefill_per_token_us");
    settings.refusesStaleFencing = json.value("fencing", "refuses") == "refuses";
    for (const auto &text : json.value("announce_to", std::vector<std::string>())) {
        BOOST_OUTCOME_TRY(settings.announceTo.emplace_back(), endpointAt({{"announce_to", text}}, "announce_to"));
    }
    readIfPresent(json, "announce_interval_ms", settings.announceInterval);
    readIfPresent(json, "load_timeout_ms", settings.loadTimeout);
    readIfPresent(json, "prefix_cache_blocks", settings.prefixCacheBlocks);
    readIfPresent(json, "service_time_ms", settings.serviceTime);
    if (json.contains("faults")) {
        BOOST_OUTCOME_TRY(changeFaults(settings.faults, json["faults"]));
    }
    return settings;
}

} // namespace tamarackcove
