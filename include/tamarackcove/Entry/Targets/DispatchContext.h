#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpResponse.h"
#include "tamarackcove/Requests/Refusal.h"

#include <functional>
#include <string>

namespace tamarackcove {

class UnreachableTargets;
class CrashLedger;
class Metrics;
class TargetConnections;
struct ControlCalls;
struct ZoneAccess;

/// The components and options that all dispatched requests share; owned by RequestPath, which outlives the requests.
struct DispatchContext
{
    struct Options
    {
        /// A stream that receives no byte for this long is resumed on a new connection. So is a call whose response has
        /// not begun by then; if the engine is only busy, the resume costs nothing.
        milliseconds progressTimeout = seconds(2);
        milliseconds writeTimeout = seconds(5);
        /// How long to wait for the engine's answer to a cancel request.
        milliseconds cancelTimeout = milliseconds(500);
        /// Consecutive failed resume attempts after which the response counts as lost.
        int maxResumeFailures = 4;
        /// The `retry-after` delay of a refusal that follows an attempt that did not run.
        milliseconds notRunRetryAfter = seconds(1);
        /// Pause before a resume attempt that follows a failed one.
        milliseconds resumePause = milliseconds(50);
        /// Larger responses of calls that are not repeatable are not recorded, because a frame to the control group
        /// holds at most 1 MiB.
        std::size_t maxRecordedBytes = 512 * 1024;
        /// Responses of plain services are buffered up to this size; larger ones are relayed as they arrive.
        std::size_t maxBufferedBytes = 64 * 1024;
        /// Responses of engines and of entries that are not streams are buffered whole; a longer one counts as lost.
        std::size_t maxResponseBytes = 16 * 1024 * 1024;
        /// A response of which bytes still arrive this long after the deadline of its call counts as lost.
        milliseconds maxLateTime = seconds(2);
        /// Longest time in which a response is buffered, for calls without a deadline.
        milliseconds maxBufferingTime = seconds(600);
    };

    /// How the front end encodes a refusal, as a response or as an event of a started stream. Other front ends use
    /// other encodings.
    struct Rendering
    {
        std::function<HttpResponse(const Refusal &)> response;
        std::function<std::string(const Refusal &)> event;
    };

    TargetConnections &connections;
    CrashLedger &crashes;
    UnreachableTargets &unreachable;
    Metrics &metrics;
    const ControlCalls &control;
    const ZoneAccess &zone;
    Rendering rendering;
    Options options;
};

} // namespace tamarackcove
