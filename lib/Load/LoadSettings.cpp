#include "tamarackcove/Load/LoadSettings.h"

#include "tamarackcove/Settings/ReadIfPresent.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "properties": {
        "endpoints": {"type": "array", "items": {"type": "string"}},
        "direct": {"type": "array", "items": {"type": "string"}},
        "direct_share": {"type": "number", "minimum": 0, "maximum": 1},
        "preload_direct": {"type": "boolean"},
        "timeout_ms": {"type": "integer", "minimum": 1},
        "deadline_ms": {"type": "integer", "minimum": 0},
        "max_attempts": {"type": "integer", "minimum": 1},
        "resend_broken": {"type": "boolean"},
        "max_retry_wait_ms": {"type": "integer", "minimum": 0},
        "keep_alive": {"type": "boolean"},
        "seed": {"type": "integer", "minimum": 0},
        "length_ms": {"type": "integer", "minimum": 1},
        "requests_per_second": {"type": "number", "exclusiveMinimum": 0},
        "adapters": {"type": "integer", "minimum": 1},
        "adapter_prefix": {"type": "string"},
        "version": {"type": "string", "minLength": 1},
        "zipf_exponent": {"type": "number", "minimum": 0},
        "shift_at_ms": {"type": "integer", "minimum": 0},
        "burst_every_ms": {"type": "integer", "minimum": 0},
        "burst_length_ms": {"type": "integer", "minimum": 0},
        "burst_factor": {"type": "number", "exclusiveMinimum": 0},
        "prompt_words": {"type": "array", "items": {"type": "integer", "minimum": 1}, "minItems": 2, "maxItems": 2},
        "answer_tokens": {"type": "array", "items": {"type": "integer", "minimum": 1}, "minItems": 2, "maxItems": 2},
        "stream_share": {"type": "number", "minimum": 0, "maximum": 1},
        "chat_share": {"type": "number", "minimum": 0, "maximum": 1},
        "high_share": {"type": "number", "minimum": 0, "maximum": 1},
        "low_share": {"type": "number", "minimum": 0, "maximum": 1},
        "not_repeatable_share": {"type": "number", "minimum": 0, "maximum": 1},
        "service_share": {"type": "number", "minimum": 0, "maximum": 1},
        "service": {"type": "string"},
        "log_level": {"type": "string"}
    }
})";

static Result<std::vector<Endpoint>, SettingsError> endpointsAt(const nlohmann::json &json, const std::string &key)
{
    std::vector<Endpoint> endpoints;
    for (const auto &text : json.value(key, std::vector<std::string>())) {
        BOOST_OUTCOME_TRY(endpoints.emplace_back(), endpointAt({{key, text}}, key));
    }
    return endpoints;
}

static Result<void, SettingsError> readRange(const nlohmann::json &json, const char *key, int &low, int &high)
{
    if (!json.contains(key)) {
        return ok();
    }
    low = json[key][0].get<int>();
    high = json[key][1].get<int>();
    if (low > high) {
        return SettingsError{SettingsErrorCode::Invalid,
                             std::string("key [") + key + "]: expected [low, high] with low not above high"};
    }
    return ok();
}

static Result<void, SettingsError> readTrace(const nlohmann::json &json, TraceSettings &trace)
{
    readIfPresent(json, "seed", trace.seed);
    trace.length = millisecondsAt(json, "length_ms", trace.length);
    readIfPresent(json, "requests_per_second", trace.requestsPerSecond);
    readIfPresent(json, "adapters", trace.adapters);
    readIfPresent(json, "adapter_prefix", trace.adapterPrefix);
    readIfPresent(json, "version", trace.version);
    readIfPresent(json, "zipf_exponent", trace.zipfExponent);
    trace.shiftAt = millisecondsAt(json, "shift_at_ms", trace.shiftAt);
    trace.burstEvery = millisecondsAt(json, "burst_every_ms", trace.burstEvery);
    trace.burstLength = millisecondsAt(json, "burst_length_ms", trace.burstLength);
    readIfPresent(json, "burst_factor", trace.burstFactor);
    BOOST_OUTCOME_TRY(readRange(json, "prompt_words", trace.minPromptWords, trace.maxPromptWords));
    BOOST_OUTCOME_TRY(readRange(json, "answer_tokens", trace.minAnswerTokens, trace.maxAnswerTokens));
    readIfPresent(json, "stream_share", trace.streamShare);
    readIfPresent(json, "chat_share", trace.chatShare);
    readIfPresent(json, "high_share", trace.highShare);
    readIfPresent(json, "low_share", trace.lowShare);
    readIfPresent(json, "not_repeatable_share", trace.notRepeatableShare);
    readIfPresent(json, "service_share", trace.serviceShare);
    readIfPresent(json, "service", trace.service);
    return ok();
}

Result<LoadSettings, SettingsError> loadLoadSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    LoadSettings settings;
    BOOST_OUTCOME_TRY(settings.endpoints, endpointsAt(json, "endpoints"));
    BOOST_OUTCOME_TRY(settings.direct, endpointsAt(json, "direct"));
    readIfPresent(json, "direct_share", settings.directShare);
    readIfPresent(json, "preload_direct", settings.preloadDirect);
    settings.timeout = millisecondsAt(json, "timeout_ms", settings.timeout);
    settings.deadline = millisecondsAt(json, "deadline_ms", settings.deadline);
    readIfPresent(json, "max_attempts", settings.maxAttempts);
    readIfPresent(json, "resend_broken", settings.resendBroken);
    settings.maxRetryWait = millisecondsAt(json, "max_retry_wait_ms", settings.maxRetryWait);
    readIfPresent(json, "keep_alive", settings.keepAlive);
    BOOST_OUTCOME_TRY(readTrace(json, settings.trace));
    return settings;
}

} // namespace tamarackcove
