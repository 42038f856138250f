#pragma once

#include "tamarackcove/Base/Time.h"

#include <optional>

namespace tamarackcove {

/// How long something usually takes, as a moving average of observed times. With a smaller weight for times above the
/// average than for those below, the average is near the shortest times that occur often.
///
/// Thread safety: used on one thread.
class UsualTime
{
public:
    /// Weight of an observed time that is shorter, or longer, than the average. Precondition: both in (0, 1].
    UsualTime(double shorterWeight, double longerWeight);

    void note(Duration time);
    /// Nothing before the first observation.
    [[nodiscard]] std::optional<Duration> value() const;

private:
    double m_shorterWeight;
    double m_longerWeight;
    std::optional<Duration> m_value;
};

} // namespace tamarackcove
