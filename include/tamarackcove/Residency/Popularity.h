#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Time.h"

#include <unordered_map>

namespace tamarackcove {

/// Estimates how often each adapter is asked for, from two decaying rates: a fast one that follows a sudden shift
/// within seconds, and a slow one that noise hardly moves. Only adapters that were asked for lately take memory.
///
/// Thread safety: used on one thread.
class Popularity
{
public:
    struct Options
    {
        milliseconds fastHalfLife = seconds(2);
        milliseconds slowHalfLife = seconds(60);
        /// The fast rate counts only from this many recent arrivals on; a single request says little about the next.
        double fastMinArrivals = 3.0;
        /// Arrivals are reported in batches; a silence of this length says nothing.
        milliseconds reportInterval = seconds(1);
        /// An adapter below this rate (requests per second) is forgotten.
        double forgetBelow = 0.0005;
    };

    explicit Popularity(Options options);

    void noteArrivals(const AdapterRef &adapter, int count, TimePoint now);

    /// Expected requests per second. A popular adapter that has gone silent for much longer than the time between its
    /// requests counts as fallen idle, though its slow rate is still high.
    [[nodiscard]] double rate(const AdapterRef &adapter, TimePoint now) const;
    /// When the adapter was last asked for; the epoch when it is not known.
    [[nodiscard]] TimePoint lastUse(const AdapterRef &adapter) const;
    /// Arrivals since the adapter woke up.
    [[nodiscard]] double useCount(const AdapterRef &adapter) const;

    void forgetIdle(TimePoint now);
    [[nodiscard]] std::size_t size() const;

private:
    struct Use
    {
        double fastArrivals = 0;
        double slowArrivals = 0;
        double total = 0;
        TimePoint updatedAt;
        TimePoint lastUse;
    };

    [[nodiscard]] double rateOf(const Use &use, TimePoint now) const;

    Options m_options;
    std::unordered_map<AdapterRef, Use> m_uses;
};

} // namespace tamarackcove
