#pragma once

#include "tamarackcove/Base/Time.h"

#include <deque>
#include <string>
#include <vector>

namespace tamarackcove {

/// What a target said about itself at one time.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    std::vector<std::string> adapters;
};

/// Keeps past reports, so that a simulated engine can announce figures that are out of date.
///
/// Thread safety: used on one thread.
class LaggedReport
{
public:
    /// Precondition: times do not go backwards.
    void record(TimePoint now, LoadReport report);
    /// The newest report that is at least `lag` old, or the oldest there is.
    [[nodiscard]] LoadReport at(TimePoint now, Duration lag) const;

private:
    std::deque<std::pair<TimePoint, LoadReport>> m_reports;
};

} // namespace tamarackcove
