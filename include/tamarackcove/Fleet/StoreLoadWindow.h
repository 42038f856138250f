#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>

namespace tamarackcove {

/// Limits the number of adapter loads from the store that are in progress at the same time, like a congestion window. A
/// store serves a certain number of loads at full speed and shares its bandwidth among more; that number is not part of
/// a deployment's configuration. The window starts in proportion to the number of servers, grows slowly while it is
/// nearly full and loads end on time, and shrinks when loads end late.
///
/// Thread safety: used on one thread.
class StoreLoadWindow
{
public:
    struct Options
    {
        /// Initial window per server: number of adapter loads from the store in progress at the same time. Stores serve
        /// between 0.7 and 1.8 loads for each server at full speed.
        double loadsPerServer = 1.5;
        /// Lower bound of the window, as a share of the initial window.
        double minShare = 0.4;
        /// Upper bound of the window, as a share of the initial window.
        double maxShare = 1.4;
        /// Time of a load at full speed.
        milliseconds loadTime{255};
        /// A load counts as late when a request finds it in progress at least this long after its expected end. Shorter
        /// delays are within the variation of load times between deployments.
        milliseconds lateTolerance{60};
        /// Shortest time between two decreases of the window, and from a decrease to the next increase. Loads that were
        /// in progress at a decrease end late too, and must not decrease the window again.
        milliseconds minDecreaseInterval{400};
    };

    explicit StoreLoadWindow(Options options);

    /// Raises the window when there are more servers than ever before. Never lowers it, because the store does not
    /// become slower when servers leave.
    void setServers(std::size_t servers);

    /// Whether no further adapter load from the store may be started while `inTransit` loads are in progress.
    [[nodiscard]] bool isFull(std::size_t inTransit) const;
    /// The longest delay of a load that is within the variation of load times between deployments.
    [[nodiscard]] milliseconds lateTolerance() const;
    /// The number of adapter loads from the store that may be in progress at the same time; not rounded.
    [[nodiscard]] double window() const;

    /// Records an adapter load from the store that ended on time: requests were sent to the server before any entry
    /// reported the load as late. `inTransit` is the number of loads from the store in progress.
    void recordOnTime(std::size_t inTransit, TimePoint now);
    /// Records that a request found the adapter still loading, `overdue` after the expected end of the load. Called
    /// once for each load.
    void recordLate(milliseconds overdue, std::size_t inTransit, TimePoint now);

private:
    Options m_options;
    double m_initialWindow = 0;
    double m_window = 0;
    TimePoint m_lastDecreaseAt;
    /// Loads that were recorded as late since m_lateSince, which is minDecreaseInterval ago at most.
    int m_lateLoads = 0;
    TimePoint m_lateSince;
};

} // namespace tamarackcove
