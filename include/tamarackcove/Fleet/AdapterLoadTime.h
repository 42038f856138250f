#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

/// Estimates how long a server takes to load an adapter from the store. That time is not part of a
/// deployment's configuration. Requests are sent to the server at the expected end of a load: if that is too early, the
/// server refuses them, and each refusal uses up a retry of the service.
///
/// The estimate follows the time within which nearly all loads end: it grows by a step with each load that ends late,
/// and shrinks by a fraction of the step with each load that does not.
///
/// Thread safety: used on one thread.
class AdapterLoadTime
{
public:
    struct Options
    {
        /// The estimate before any load has ended, and its lower bound.
        milliseconds initial{255};
        /// The upper bound: a longer load has another cause than the speed of the deployment.
        milliseconds max{300};
    };

    explicit AdapterLoadTime(Options options);

    [[nodiscard]] milliseconds expected() const;
    /// Records a load that was still in progress at its expected end.
    void recordLate();
    /// Records a load that had ended by its expected end.
    void recordOnTime();

private:
    Options m_options;
    std::chrono::duration<double, std::milli> m_estimate;
};

} // namespace tamarackcove
