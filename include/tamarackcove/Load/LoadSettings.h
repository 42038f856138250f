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
    /// Entries; requests go to them in turn.
    std::vector<Endpoint> endpoints;
    /// Engines that take requests without an entry, as a baseline.
    std::vector<Endpoint> direct;
    /// Share of the requests that go to `direct`.
    double directShare = 0;
    /// Load the adapters on the engines of `direct` first.
    bool preloadDirect = true;
    TraceSettings trace;
    /// For each step of an attempt: connect, write, and each wait for a piece.
    milliseconds timeout{30000};
    /// Sent as the deadline of each request; 0 sends none.
    milliseconds deadline{0};
    /// Attempts of a request, as a usual client makes them.
    int maxAttempts = 1;
    /// Send a repeatable request again when its connection broke or an error event ended it.
    bool resendBroken = false;
    /// Longest wait that a retry-after header may ask for.
    milliseconds maxRetryWait{2000};
    bool keepAlive = true;
};

/// Reads and checks the settings file. Thread safe.
[[nodiscard]] Result<LoadSettings, SettingsError> loadLoadSettings(const std::string &path);

} // namespace tamarackcove
