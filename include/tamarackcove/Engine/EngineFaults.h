#pragma once

#include "tamarackcove/Base/Time.h"

#include <string>

namespace tamarackcove {

/// The faults that a simulated engine injects. The defaults inject none.
struct EngineFaults
{
    /// Minimum age of the load figures in announcements.
    milliseconds loadReportLag{0};
    /// Minimum age of the adapter lists in announcements.
    milliseconds adapterListLag{0};
    /// Probability that an announcement has no adapter list.
    double adapterListOmissionProbability = 0;
    /// Whether the engine stops sending announcements.
    bool suppressAnnouncements = false;
    double loadFailProbability = 0;
    int failNextLoads = 0;
    /// Requests on connections that were open when the fault was switched on get no answer; later connections work.
    bool silenceOpenConnections = false;
    /// The process exits when it starts a request whose prompt (or body, for a plain service) contains this text. Empty
    /// disables the fault.
    std::string crashMarker;
    /// Factor by which batch steps are slowed down.
    double slowFactor = 1;
    /// Delay before each piece of a stream is sent.
    milliseconds pieceDelay{0};
    /// Probability that a piece is sent twice.
    double pieceRepeatProbability = 0;
    /// Probability that a piece is sent after the next one instead of before.
    double pieceReorderProbability = 0;
    /// Number of streams still to be cut off after their second piece, without the end of the stream.
    int breakNextStreams = 0;
    /// Number of streams still to be stopped after their second piece, with the connection left open.
    int stallNextStreams = 0;
};

} // namespace tamarackcove
