#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>

namespace tamarackcove {

/// Estimates when the caller of a request has first sent it. Latency goals count from the first attempt, but a repeated
/// attempt only says how much of the caller's time is left. Callers of one route usually start with the same time, so
/// that the difference from it has passed already.
///
/// Thread safety: used on one thread.
class CallerBudget
{
public:
    /// Counts a request whose caller waits this long, and returns how long ago its first attempt began; zero for a
    /// first attempt and for callers that do not start with a common time.
    [[nodiscard]] milliseconds timeSinceFirstAttempt(milliseconds timeLeft, TimePoint now);

private:
    /// The requests of a part of the recent time.
    struct Period
    {
        milliseconds longest{0};
        std::size_t requests = 0;
        /// Requests whose time differs from the longest by at most the tolerance.
        std::size_t firstAttempts = 0;
    };

    Period m_current;
    Period m_previous;
    TimePoint m_currentSince;
};

} // namespace tamarackcove
