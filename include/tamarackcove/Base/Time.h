#pragma once

#include <chrono>

namespace tamarackcove {

/// The clock of every deadline and lease. It is monotonic, so a change of the wall clock neither extends nor shortens a
/// lease.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace tamarackcove
