#pragma once

#include <chrono>

namespace tamarackcove {

/// The clock of every deadline and lease: CLOCK_BOOTTIME. It is monotonic, so a change of the wall clock neither
/// extends nor shortens a lease. Unlike std::chrono::steady_clock it counts the time for which the machine was
/// suspended, so that a lease that expired meanwhile is not used afterwards.
///
/// Thread safety: can be used on any thread.
struct Clock
{
    // The names that the standard library requires of a clock.
    // NOLINTBEGIN(readability-identifier-naming)
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;
    // NOLINTEND(readability-identifier-naming)

    [[nodiscard]] static time_point now() noexcept;
};
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace tamarackcove
