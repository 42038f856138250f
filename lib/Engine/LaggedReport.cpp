#include "tamarackcove/Engine/LaggedReport.h"

namespace tamarackcove {

// Longer lags are not simulated; this bounds the memory.
static constexpr auto MaxLag = seconds(60);

void LaggedReport::record(TimePoint now, LoadReport report)
{
    m_reports.emplace_back(now, std::move(report));
    while (m_reports.size() > 1 && now - m_reports.front().first > MaxLag) {
        m_reports.pop_front();
    }
}

LoadReport LaggedReport::at(TimePoint now, Duration lag) const
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
