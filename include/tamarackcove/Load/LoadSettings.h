#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Load/TraceGenerator.h"
#include "tamarackcove/Settings/SettingsError.h"

#include <string>
#include <vector>

namespace tamarackcove {

/// Settings of `tamarackcove-loadgen`.
struct LoadSettings
{
    /// Entries, which receive the requests round robin.
    std::vector<Endpoint> endpoints;
    /// Engines that receive requests directly, bypassing the entries, as a baseline.
    std::vector<Endpoint> direct;
    /// Share of the requests that go to `direct`.
    double directShare = 0;
    /// Whether to load all adapters on the engines of `direct` before the first request.
    bool preloadDirect = true;
    TraceSettings trace;
    /// Limit for each step of an attempt: the connect, the write, and each read of the response.
    milliseconds timeout{30000};
    /// Sent in the x-tamarackcove-deadline-ms header of each request; 0 sends none.
    milliseconds deadline{0};
    /// Maximum number of attempts at one request, including the first.
    int maxAttempts = 1;
    /// Whether to send a request again when its connection broke or timed out, or an error event ended the answer.
    bool resendBroken = false;
    /// Upper limit for the wait that a retry-after header asks for, and for the backoff, which doubles with each
    /// attempt.
    milliseconds maxRetryWait{2000};
    /// Whether to reuse connections. A request that is not repeatable is always sent on a new connection.
    bool keepAlive = true;
};

/// Reads and checks the settings file. Thread safe.
[[nodiscard]] Result<LoadSettings, SettingsError> loadLoadSettings(const std::string &path);

} // namespace tamarackcove
