#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <deque>

namespace tamarackcove {

/// The limits of a weight store.
struct StoreLimits
{
    double loadsPerSecond = 7;
    int concurrentLoads = 3;
    /// Up to this many loads in flight take `loadTime`; beyond it they take proportionally longer.
    int fullSpeedLoads = 24;
    milliseconds loadTime{250};
    /// The rate is checked over this window.
    milliseconds window{1000};
};

/// What a weight store has seen.
struct StoreCounts
{
    std::uint64_t loads = 0;
    std::uint64_t failed = 0;
    int inFlight = 0;
    int maxInFlight = 0;
    int maxInWindow = 0;
    /// Loads that began while the window already held the allowed number.
    std::uint64_t rateViolations = 0;
    /// Loads that began while the allowed number was in flight.
    std::uint64_t concurrencyViolations = 0;
};

/// How long a load takes, and whether loads keep the limits, in virtual time.
///
/// Thread safety: used on one thread.
class StoreModel
{
public:
    explicit StoreModel(StoreLimits limits);

    /// Begins a load and returns how long it takes. Precondition: times do not go backwards.
    Duration begin(TimePoint now);
    /// Precondition: one call for each begin().
    void end(bool failed);
    [[nodiscard]] const StoreCounts &counts() const;

private:
    StoreLimits m_limits;
    StoreCounts m_counts;
    std::deque<TimePoint> m_recent;
};

} // namespace tamarackcove
