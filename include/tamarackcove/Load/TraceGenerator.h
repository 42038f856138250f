#pragma once

#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackcove {

/// Parameters of a generated trace. Shares are fractions of the requests, 0 to 1.
struct TraceSettings
{
    std::uint64_t seed = 1;
    milliseconds length{10000};
    double requestsPerSecond = 20;
    int adapters = 100;
    std::string adapterPrefix = "adapter-";
    std::string version = "1";
    /// Exponent of the Zipf distribution; 0 makes all adapters equally popular.
    double zipfExponent = 1.0;
    /// Time from the start of the trace at which the popularity of the adapters is permuted anew; 0: never.
    milliseconds shiftAt{0};
    /// Interval between the starts of two bursts; 0: no bursts. During the first `burstLength` of each interval the
    /// rate is multiplied by `burstFactor`.
    milliseconds burstEvery{0};
    milliseconds burstLength{0};
    double burstFactor = 1;
    int minPromptWords = 4;
    int maxPromptWords = 40;
    int minAnswerTokens = 4;
    int maxAnswerTokens = 32;
    double streamShare = 0.5;
    double chatShare = 0.5;
    double highShare = 0;
    double lowShare = 0;
    double notRepeatableShare = 0;
    /// Share of requests that go to the plain service `service`.
    double serviceShare = 0;
    std::string service;
};

/// One request of a trace.
struct TracedRequest
{
    /// Planned send time, from the start of the trace.
    Duration at{0};
    /// Identifies the request within the trace. It is the first word of the prompt, and the idempotency key if the
    /// request needs one.
    std::string key;
    /// `name@version`; empty for a plain service.
    std::string adapter;
    std::string prompt;
    /// Number of tokens that the request asks for.
    int answerTokens = 0;
    bool stream = false;
    bool chat = false;
    /// Whether the request goes to the plain service TraceSettings::service instead of an adapter.
    bool service = false;
    bool repeatable = true;
    Priority priority = Priority::Normal;
};

/// Generates the requests of a trace in the order of their planned times. The same settings give the same requests.
/// Thread safe.
[[nodiscard]] std::vector<TracedRequest> generateTrace(const TraceSettings &settings);

/// The adapter with this number, written `name@version`. Thread safe.
[[nodiscard]] std::string traceAdapter(const TraceSettings &settings, int number);

} // namespace tamarackcove
