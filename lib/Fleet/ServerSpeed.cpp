#include "tamarackcove/Fleet/ServerSpeed.h"

#include <algorithm>
#include <cmath>

namespace tamarackcove {

/// Weight of one observation in the moving average.
static constexpr double ObservationWeight = 0.15;
/// Largest ratio, and largest number of observations in one report, that count.
static constexpr double MaxRatio = 8;
static constexpr int MaxObservations = 1000;
/// Below this, a server is not slow: noise alone raises the average of a sound one to 1.15 and lets it vary by a tenth.
static constexpr double MinSlowness = 1.5;
/// Steps in which slowness is reported, so that entries are not told of each small change.
static constexpr double StepsPerUnit = 4;
/// Time in which what was learned loses about two thirds of its weight when nothing is observed.
static constexpr milliseconds Lifetime{10000};
/// After this time nothing is left of it.
static constexpr milliseconds ForgetTime{60000};

static double remainder(Duration elapsed)
{
    return std::exp(-std::chrono::duration<double>(elapsed) / Lifetime);
}

void ServerSpeed::add(const TimeRatios &ratios, TimePoint now)
{
    const int count = std::min(ratios.count, MaxObservations);
    if (count <= 0 || !std::isfinite(ratios.logSum)) {
        return;
    }
    const double mean = std::clamp(ratios.logSum / ratios.count, -std::log(MaxRatio), std::log(MaxRatio));
    const double kept = std::pow(1 - ObservationWeight, count);
    m_average = kept * m_average * remainder(now - m_updatedAt) + (1 - kept) * mean;
    m_updatedAt = now;
}

double ServerSpeed::slowness(TimePoint now) const
{
    const double slowness = std::exp(m_average * remainder(now - m_updatedAt));
    return slowness < MinSlowness ? 1 : std::round(slowness * StepsPerUnit) / StepsPerUnit;
}

bool ServerSpeed::isForgotten(TimePoint now) const
{
    return now > m_updatedAt + ForgetTime;
}

} // namespace tamarackcove
