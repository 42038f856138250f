#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <deque>

namespace tamarackcove {

/// The limits on loads from a weight store, and the time a load takes.
struct StoreLimits
{
    double loadsPerSecond = 7;
    int concurrentLoads = 3;
    /// Number of loads in flight up to which each takes `loadTime`; with more, loads take proportionally longer.
    int maxFullSpeedLoads = 24;
    milliseconds loadTime{250};
    /// Length of the sliding window over which `loadsPerSecond` is checked.
    milliseconds window{1000};
};

/// Counts of the loads from a weight store since its start.
struct StoreCounts
{
    std::uint64_t loads = 0;
    std::uint64_t failed = 0;
    int inFlight = 0;
    int maxInFlight = 0;
    /// Highest number of loads that began within one sliding window.
    int maxInWindow = 0;
    /// Loads that began although at least as many loads as `loadsPerSecond` allows had already begun within the sliding
    /// window.
    std::uint64_t rateViolations = 0;
    /// Loads that began when `concurrentLoads` were already in flight.
    std::uint64_t concurrencyViolations = 0;
};

/// Computes how long a load takes and counts loads that exceed the limits, in virtual time.
///
/// Thread safety: used on one thread.
class StoreModel
{
public:
    explicit StoreModel(StoreLimits limits);

    /// Begins a load and returns how long it takes. Precondition: `now` is not earlier than in the previous call.
    Duration beginLoad(TimePoint now);
    /// Ends a load. Precondition: each load that beginLoad() started is ended once.
    void endLoad(bool failed);
    [[nodiscard]] const StoreCounts &counts() const;

private:
    StoreLimits m_limits;
    StoreCounts m_counts;
    std::deque<TimePoint> m_recentLoadStarts;
};

} // namespace tamarackcove
