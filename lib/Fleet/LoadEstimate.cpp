#include "tamarackcove/Fleet/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace tamarackcove {

/// What is left, after `elapsed`, of a quantity that decays with the time constant `lifetime`.
static double remainder(Duration elapsed, Duration lifetime)
{
    return std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(lifetime));
}

void LoadEstimate::setReport(double load, TimePoint now)
{
    m_lag = m_hasReport ? smoothedReport(now) - load : 0;
    m_report = load;
    m_hasReport = true;
    m_reportedAt = now;
}

double LoadEstimate::lastReport() const
{
    return m_report;
}

double LoadEstimate::smoothedReport(TimePoint now) const
{
    return m_lag == 0 ? m_report : m_report + m_lag * remainder(now - m_reportedAt, ReportLag);
}

void LoadEstimate::recordFull(TimePoint now)
{
    m_experience = FullLoad;
    m_experienceWeight = 1;
    m_experiencedAt = now;
}

void LoadEstimate::recordLateAnswer(double loadPerSlot, TimePoint now)
{
    m_experience = std::min(loadPerSlot, MaxLoad);
    m_experienceWeight = 1;
    m_experiencedAt = now;
}

void LoadEstimate::recordTimelyAnswer()
{
    m_experienceWeight /= 2;
}

double LoadEstimate::withExperience(double loadPerSlot, TimePoint now) const
{
    if (m_experienceWeight == 0 || m_experience <= loadPerSlot) {
        return loadPerSlot;
    }
    const double weight = m_experienceWeight * remainder(now - m_experiencedAt, ExperienceLifetime);
    return loadPerSlot + weight * (m_experience - loadPerSlot);
}

} // namespace tamarackcove
