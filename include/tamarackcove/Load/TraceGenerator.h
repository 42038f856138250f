#pragma once

#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackcove {

/// The shape of a load.
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
    /// From here on other adapters are popular. 0: never.
    milliseconds shiftAt{0};
    /// The rate is multiplied by `burstFactor` for `burstLength` at the start of each `burstEvery`. 0: no bursts.
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

/// One request of a load.
struct TracedRequest
{
    Duration at{0};
    /// Unique in a load; the first word of the prompt.
    std::string key;
    /// `name@version`; empty for a plain service.
    std::string adapter;
    std::string prompt;
    int answerTokens = 0;
    bool stream = false;
    bool chat = false;
    bool service = false;
    bool repeatable = true;
    Priority priority = Priority::Normal;
};

/// The requests of a load in the order of their times; the same settings give the same requests. Thread safe.
[[nodiscard]] std::vector<TracedRequest> generateTrace(const TraceSettings &settings);

/// The adapter of this number, `name@version`. Thread safe.
[[nodiscard]] std::string traceAdapter(const TraceSettings &settings, int number);

} // namespace tamarackcove
