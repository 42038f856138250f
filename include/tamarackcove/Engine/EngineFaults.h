#pragma once

#include "tamarackcove/Base/Time.h"

#include <string>

namespace tamarackcove {

/// What a simulated engine does wrong at the moment. The defaults are a sound engine.
struct EngineFaults
{
    /// Announced load figures are this old.
    milliseconds loadReportLag{0};
    /// Announced adapter lists are this old.
    milliseconds adapterListLag{0};
    /// Share of announcements without an adapter list.
    double adapterListGap = 0;
    /// No announcement is sent.
    bool muteAnnouncements = false;
    double loadFailProbability = 0;
    int failNextLoads = 0;
    /// Connections opened before this was set no longer answer; later ones do.
    bool silenceOpenConnections = false;
    /// The process ends when a request whose prompt contains this text starts to run. Empty turns it off.
    std::string crashMarker;
    /// Steps take this many times as long.
    double slowFactor = 1;
    /// Each piece of a stream leaves this much later.
    milliseconds pieceDelay{0};
    /// Share of pieces that are sent twice.
    double repeatPieces = 0;
    /// Share of pieces that change places with the next one.
    double reorderPieces = 0;
    /// This many streams break off without their end after their second piece.
    int breakNextStreams = 0;
    /// This many streams stop in the middle without closing the connection.
    int stallNextStreams = 0;
};

} // namespace tamarackcove
