#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpResponse.h"
#include "tamarackcove/Requests/Refusal.h"

#include <functional>
#include <string>

namespace tamarackcove {

class BrokenTargets;
class CrashLedger;
class Metrics;
class TargetConnections;
struct ControlCalls;
struct ZoneAccess;

/// What every dispatched request uses; owned by the root of the entry, which outlives all requests.
struct DispatchContext
{
    struct Options
    {
        /// A stream without a byte for this long is resumed on a new connection; so is a call whose response has not
        /// come, which costs nothing when the engine is only busy.
        milliseconds progressTimeout = seconds(2);
        milliseconds writeTimeout = seconds(5);
        milliseconds cancelTimeout = milliseconds(500);
        /// Resume attempts in a row that get no answer before the target counts as lost.
        int maxResumeFailures = 4;
        /// Told to the caller with an attempt that did not run.
        milliseconds notRunRetryAfter = seconds(1);
        milliseconds resumePause = milliseconds(50);
        /// Larger responses of calls that may not be repeated are not recorded: a frame to the control group holds 1
        /// MiB.
        std::size_t maxRecordedBytes = 512 * 1024;
        /// A response of a plain service above this size is relayed while it arrives.
        std::size_t maxWholeBytes = 64 * 1024;
    };

    /// How the front end shows an error; another front end has other encodings.
    struct Rendering
    {
        std::function<HttpResponse(const Refusal &)> response;
        std::function<std::string(const Refusal &)> event;
    };

    TargetConnections &connections;
    CrashLedger &crashes;
    BrokenTargets &broken;
    Metrics &metrics;
    const ControlCalls &control;
    const ZoneAccess &zone;
    Rendering rendering;
    Options options;
};

} // namespace tamarackcove
