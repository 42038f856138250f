#pragma once

#include "tamarackcove/Base/Time.h"

#include <optional>

namespace tamarackcove {

/// Keeps the loads of a zone within its store permit: the rate, and how many are under way at once.
///
/// Thread safety: used on one thread.
class PermitGate
{
public:
    /// `validUntil` counts from the sending of the request for the permit.
    void setPermit(double loadsPerSecond, int concurrentLoads, TimePoint validUntil, TimePoint now);

    /// How many loads may start now.
    [[nodiscard]] int allowed(TimePoint now);
    /// When the next load may start, if that only takes time: not while too many are under way or the permit is over.
    [[nodiscard]] std::optional<TimePoint> nextAllowed(TimePoint now);
    /// Precondition: allowed(now) is above 0.
    void start(TimePoint now);
    void finish();
    [[nodiscard]] int underWay() const;

private:
    void refill(TimePoint now);

    double m_rate = 0;
    int m_concurrent = 0;
    TimePoint m_validUntil = TimePoint::min();
    /// Loads that the rate allows; at most one is saved up, so that no second exceeds the rate by more than one.
    double m_saved = 0;
    TimePoint m_refilledAt = TimePoint::min();
    int m_underWay = 0;
};

} // namespace tamarackcove
