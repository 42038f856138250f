#include "tamarackcove/Fleet/UsualTime.h"

namespace tamarackcove {

UsualTime::UsualTime(double shorterWeight, double longerWeight)
    : m_shorterWeight(shorterWeight)
    , m_longerWeight(longerWeight)
{
}

void UsualTime::note(Duration time)
{
    if (!m_value) {
        m_value = time;
        return;
    }
    const double weight = time < *m_value ? m_shorterWeight : m_longerWeight;
    *m_value += duration_cast<Duration>((time - *m_value) * weight);
}

std::optional<Duration> UsualTime::value() const
{
    return m_value;
}

} // namespace tamarackcove
