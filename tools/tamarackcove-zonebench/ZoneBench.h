#pragma once

#include "tamarackcove/Base/Time.h"

#include <string>

namespace tamarackcove {

/// Parameters of one measurement. The entries of one zone run in this process and talk over loopback; the targets are
/// simulated and announce themselves once a second.
struct ZoneBenchCase
{
    int entries = 2;
    int targets = 0;
    /// Adapter loads per second in the whole zone. A load into a full target also evicts an adapter.
    int loadsPerSecond = 0;
    /// Measured time, without the start of the zone.
    seconds duration{10};
};

/// Averages per entry over the measured time, unless the comment of a member says otherwise.
struct ZoneBenchResult
{
    /// CPU time of the process, divided by the measured time and by the number of entries; 1 is one whole core.
    double cpuShare = 0;
    double messagesPerSecond = 0;
    double bytesReadPerSecond = 0;
    double bytesWrittenPerSecond = 0;
    /// Bytes written per second by the entry that is the coordinator at the end of the measurement.
    double coordinatorBytesWrittenPerSecond = 0;
    double coordinatorBytesReadPerSecond = 0;
    /// Load orders that the engines received, in the whole zone.
    double loadsPerSecond = 0;
};

/// Runs one case and blocks until it is done. Throws std::runtime_error when an entry cannot listen or the zone is not
/// ready within 30 s.
[[nodiscard]] ZoneBenchResult runZoneBench(const ZoneBenchCase &parameters);

} // namespace tamarackcove
