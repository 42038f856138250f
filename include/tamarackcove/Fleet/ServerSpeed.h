#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/TimeRatios.h"

namespace tamarackcove {

/// How slow a server is, learned from the observations of all entries. A few answers that take 2.5 times as long do not
/// make a server slow; one that takes five times as long for all is found within about ten observations, which is
/// less than two seconds for an engine. What was learned decays when nothing is observed, so that the server is tried
/// again.
///
/// Thread safety: used on one thread.
class ServerSpeed
{
public:
    /// Adds observations. Numbers that no entry can have observed are limited.
    void add(const TimeRatios &ratios, TimePoint now);
    /// How many times as long as usual the server takes, in steps of a quarter; 1 if it is not found to be slow.
    [[nodiscard]] double slowness(TimePoint now) const;
    /// Whether nothing was observed for so long that nothing is known any more.
    [[nodiscard]] bool isForgotten(TimePoint now) const;

private:
    /// Moving average of the logarithm of the ratio at m_updatedAt.
    double m_average = 0;
    TimePoint m_updatedAt;
};

} // namespace tamarackcove
