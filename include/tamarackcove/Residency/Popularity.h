#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Time.h"

#include <unordered_map>

namespace tamarackcove {

/// Estimates the request rate of each adapter from two exponentially decaying averages: a fast one that follows a
/// sudden shift of demand within seconds, and a slow one that smooths out noise. Memory use is bounded by the adapters
/// with recent requests; see removeIdle().
///
/// Thread safety: used on one thread.
class Popularity
{
public:
    struct Options
    {
        milliseconds fastHalfLife = seconds(2);
        milliseconds slowHalfLife = seconds(60);
        /// The fast rate is used only from this number of decayed arrivals on, since a single request does not predict
        /// the next.
        double fastMinArrivals = 3.0;
        /// Arrivals are reported in batches at this interval, so a gap up to this length does not lower the rate.
        milliseconds reportInterval = seconds(1);
        /// removeIdle() removes adapters whose slow rate is below this, in requests per second.
        double minTrackedRate = 0.0005;
    };

    explicit Popularity(Options options);

    void noteArrivals(const AdapterRef &adapter, int count, TimePoint now);

    /// Expected requests per second. The estimate drops quickly when no request has arrived for much longer than the
    /// adapter's mean interval between requests, even while its slow rate is still high.
    [[nodiscard]] double rate(const AdapterRef &adapter, TimePoint now) const;
    /// Time of the last request for the adapter; the epoch if the adapter is not tracked.
    [[nodiscard]] TimePoint lastUse(const AdapterRef &adapter) const;
    /// Requests for the adapter since tracking began, without decay; 0 if the adapter is not tracked.
    [[nodiscard]] double useCount(const AdapterRef &adapter) const;

    /// Stops tracking adapters whose slow rate has decayed below minTrackedRate.
    void removeIdle(TimePoint now);
    /// Number of tracked adapters.
    [[nodiscard]] std::size_t size() const;

private:
    struct Usage
    {
        double fastArrivals = 0;
        double slowArrivals = 0;
        double totalArrivals = 0;
        TimePoint updatedAt;
        TimePoint lastUse;
    };

    [[nodiscard]] double rateOf(const Usage &usage, TimePoint now) const;

    Options m_options;
    std::unordered_map<AdapterRef, Usage> m_usage;
};

} // namespace tamarackcove
