#include "tamarackcove/Engine/LoadReportHistory.h"

namespace tamarackcove {

// Older reports are dropped to bound the memory, so longer lags cannot be simulated.
static constexpr auto MaxLag = seconds(60);

void LoadReportHistory::record(TimePoint now, LoadReport report)
{
    m_reports.emplace_back(now, std::move(report));
    while (m_reports.size() > 1 && now - m_reports.front().first > MaxLag) {
        m_reports.pop_front();
    }
}

LoadReport LoadReportHistory::at(TimePoint now, Duration lag) const
{
    if (m_reports.empty()) {
        return {};
    }
    for (auto entry = m_reports.rbegin(); entry != m_reports.rend(); ++entry) {
        if (now - entry->first >= lag) {
            return entry->second;
        }
    }
    return m_reports.front().second;
}

} // namespace tamarackcove
