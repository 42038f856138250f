#pragma once

#include "tamarackcove/Base/Time.h"

#include <string>

namespace tamarackcove {

/// One measurement: entries of one zone in this process over loopback, with targets that announce every second.
struct ZoneBenchCase
{
    int entries = 2;
    int targets = 0;
    /// Adapters that are loaded and evicted per second in the whole zone.
    int loadsPerSecond = 0;
    bool sharedBeatTimer = false;
    seconds duration{10};
};

/// Averages over the entries and the measured time.
struct ZoneBenchResult
{
    /// CPU time of the process over time and entries, 1 for a whole core.
    double cpuShare = 0;
    double messagesPerSecond = 0;
    double bytesReadPerSecond = 0;
    double bytesWrittenPerSecond = 0;
    double coordinatorBytesWrittenPerSecond = 0;
    double coordinatorBytesReadPerSecond = 0;
    double loadsPerSecond = 0;
};

/// Runs one case. Throws std::runtime_error when the zone does not come up.
[[nodiscard]] ZoneBenchResult runZoneBench(const ZoneBenchCase &parameters);

} // namespace tamarackcove
