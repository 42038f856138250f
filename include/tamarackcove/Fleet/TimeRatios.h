#pragma once

namespace tamarackcove {

/// Observations of how long a server takes relative to what is usual for its service, since the last report.
struct TimeRatios
{
    int count = 0;
    /// Sum of the natural logarithms of the ratios.
    double logSum = 0;
};

} // namespace tamarackcove
