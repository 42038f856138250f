#pragma once

#include "tamarackcove/Base/Time.h"

#include <deque>

namespace tamarackcove {

/// The share of the requests for a service that an entry may send, so that the requests in progress at the servers
/// stay near a target at which new ones are answered within their goal. All entries compute it from the same reports,
/// and so reach nearly the same share without exchanging messages for it.
///
/// The demand is estimated from how the reported load has changed and from the share that was in force at the time. The
/// change since the report, which the entries have caused but cannot see yet, is predicted.
/// Thread safety: used on one thread.
class AdmissionFraction
{
public:
    struct Options
    {
        /// The share becomes limited when the load exceeds the target by this factor, above the fluctuations of a
        /// service whose slots are in use at 85 %.
        double activation = 1.15;
        /// Requests that wait at servers at the target, as a part of the slots: an eighth of the time that the goal
        /// leaves, within these limits. A server's queue of 24 behind 6 slots is then filled to an eighth on average,
        /// so that the unevenness between servers does not fill one of them.
        double minTargetQueue = 0.1;
        double maxTargetQueue = 1.0;
        double goalShare = 0.25;
        /// Mean age of what a report says: entries report 5 times a second, and so does the leader.
        milliseconds reportDelay{300};
        /// Shortest time between two steps. Reports come every 200 ms.
        milliseconds minStep{150};
        /// Time in which a deviation from the target is corrected. Less than the delay would oscillate.
        milliseconds correctionTime{400};
        /// Part of the capacity that is used at the target.
        double utilisation = 1.0;
        /// The smallest share, from which the estimate of the demand recovers when the reports were misleading.
        double minShare = 0.1;
        /// Growth of the share of requests that have missed their goal, for each report below the target.
        double lateGrowth = 0.2;
    };
    /// What a report and the recent answers say about a service.
    struct Input
    {
        /// Requests in progress at all servers, and requests that they run at the same time.
        double inProgress = 0;
        int slots = 0;
        /// How long a request occupies a slot.
        Duration serviceTime{0};
        /// How long a request may wait at a server and still be answered within its goal.
        Duration goalMargin{0};
    };

    explicit AdmissionFraction(Options options);

    /// Applies a report. Has no effect less than minStep after the previous one. Precondition: the service time is
    /// positive.
    void update(const Input &input, TimePoint now);
    /// Forgets the reports: everything is admitted until the next overload.
    void reset();

    /// Whether requests are limited at present.
    [[nodiscard]] bool limits() const;
    /// The share of the requests that can meet their goal, from minShare to 1.
    [[nodiscard]] double onTimeShare() const;
    /// The share of the requests that have missed their goal, from 0 to 1. Positive only if onTimeShare() is 1.
    [[nodiscard]] double lateShare() const;
    /// Requests in progress at the target, for the last report.
    [[nodiscard]] double target() const;
    /// The estimated requests of all callers for each second that can meet their goal; 0 before the first report.
    [[nodiscard]] double demand() const;

private:
    /// A level that was in force from a time on.
    struct Past
    {
        TimePoint since;
        double level = Open;
    };

    /// Up to 1, the level is the share of the requests that can meet their goal; what exceeds 1 is the share of the
    /// others.
    static constexpr double Open = 2.0;

    /// Mean share of the requests that can meet their goal over a part of the recent time.
    [[nodiscard]] double meanShare(TimePoint from, TimePoint to) const;
    void estimateDemand(const Input &input, TimePoint now);

    Options m_options;
    double m_level = Open;
    double m_target = 0;
    double m_demand = 0;
    double m_lastInProgress = 0;
    TimePoint m_lastStep;
    std::deque<Past> m_past;
};

} // namespace tamarackcove
