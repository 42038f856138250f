#include "tamarackcove/Fleet/AdapterLoadTime.h"

#include <algorithm>

namespace tamarackcove {

using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

/// Change of the estimate with each load. At a hundred loads a second, an estimate that is 30 ms too short is corrected
/// within a tenth of a second.
static constexpr FractionalMilliseconds Step{4};
/// The share of loads that may end after the estimate.
static constexpr double LateShare = 0.02;

AdapterLoadTime::AdapterLoadTime(Options options)
    : m_options(options)
    , m_estimate(options.initial)
{
}

milliseconds AdapterLoadTime::expected() const
{
    return std::chrono::ceil<milliseconds>(m_estimate);
}

void AdapterLoadTime::recordLate()
{
    m_estimate = std::min(m_estimate + Step * (1 - LateShare), FractionalMilliseconds(m_options.max));
}

void AdapterLoadTime::recordOnTime()
{
    m_estimate = std::max(m_estimate - Step * LateShare, FractionalMilliseconds(m_options.initial));
}

} // namespace tamarackcove
