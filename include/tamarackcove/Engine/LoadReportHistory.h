#pragma once

#include "tamarackcove/Base/Time.h"

#include <deque>
#include <string>
#include <vector>

namespace tamarackcove {

/// The load and the resident adapters of a target at one instant.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    std::vector<std::string> adapters;
};

/// Keeps past load reports, so that a simulated engine can announce outdated figures.
///
/// Thread safety: used on one thread.
class LoadReportHistory
{
public:
    /// Precondition: `now` is not earlier than in the previous call.
    void record(TimePoint now, LoadReport report);
    /// Returns the newest report that is at least `lag` old at `now`. If all reports are newer, returns the oldest one
    /// kept; if none was recorded, returns an empty report.
    [[nodiscard]] LoadReport at(TimePoint now, Duration lag) const;

private:
    std::deque<std::pair<TimePoint, LoadReport>> m_reports;
};

} // namespace tamarackcove
