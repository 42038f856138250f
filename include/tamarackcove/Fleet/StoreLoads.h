#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>

namespace tamarackcove {

/// How many adapters may be on their way from the store at once. A store loads a certain number at full speed and
/// shares its rate among more; that number is not part of a deployment's configuration. The window starts in proportion
/// to the servers, grows slowly while it is full and loads come in time, and shrinks when they come late.
///
/// Thread safety: used on one thread.
class StoreLoads
{
public:
    struct Options
    {
        /// Deployments differ between 1.3 and 1.8.
        double perServer = 1.5;
        /// The window stays between these shares of where it started.
        double leastShare = 0.85;
        double mostShare = 1.4;
        /// A load is late when a request finds it in progress so long after its expected end. Less than this is within
        /// the differences between deployments.
        milliseconds tolerance{60};
        /// Loads that were already on their way are late too; one shrinking answers all of them.
        milliseconds reaction{400};
    };

    explicit StoreLoads(Options options);

    /// Raises the window if there are more servers than before. Servers that leave do not make the store slower.
    void setServers(std::size_t servers);

    [[nodiscard]] bool full(std::size_t inTransit) const;
    [[nodiscard]] double window() const;

    /// The first request found the adapter loaded when it was expected to be; so many loads are on their way.
    void inTime(std::size_t inTransit, TimePoint now);
    /// A request found the adapter still loading so long after the expected end.
    void late(milliseconds overdue, std::size_t inTransit, TimePoint now);

private:
    Options m_options;
    double m_start = 0;
    double m_window = 0;
    TimePoint m_shrunkAt;
};

} // namespace tamarackcove
