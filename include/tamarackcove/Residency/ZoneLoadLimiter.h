#pragma once

#include "tamarackcove/Residency/StorePermits.h"

namespace tamarackcove {

/// Limits the adapter loads that a zone coordinator starts to what the control leader's StoreBudget permits.
///
/// The newest permit applies until it expires. After two permit leases and the longest load (see PermitTiming) without
/// an answer from the control leader, the partition quota applies, which the leader has set aside by then; see
/// StoreBudget. Between the expiry of the permit and this time, no load may start.
///
/// Thread safety: used on one thread.
class ZoneLoadLimiter
{
public:
    /// Starts without a permit. The time without an answer, after which the quota applies, counts from `now`, since the
    /// time of the last answer to the previous coordinator is unknown. `inFlight` is the number of loads in progress in
    /// the zone.
    ZoneLoadLimiter(PermitTiming timing, TimePoint now, int inFlight = 0);

    /// Applies the answer to a request that was sent at `sentAt`. Ignores the answer unless its stamp is newer than
    /// that of every answer applied before.
    void applyAnswer(const PermitAnswer &answer, TimePoint sentAt, TimePoint now);
    /// Sets the partition quota, which applies after two permit leases and the longest load without a permit answer.
    /// Call this function when a message of the control group other than a permit answer carries the quota.
    void setQuota(LoadLimits quota, TimePoint now);

    /// Gives up what the permit allows beyond `wanted`, so that the leader can grant it to another zone at once. The
    /// next PermitRequest must report the reduced permit as `held`.
    void relinquishExcess(LoadLimits wanted, TimePoint now);

    /// Counts an adapter load as started if one may start now; returns whether it may.
    /// Precondition: this coordinator's zone lease is valid.
    [[nodiscard]] bool tryStart(TimePoint now);
    /// Records that an adapter load has ended, or that the coordinator no longer waits for it after its deadline.
    void recordLoadEnd();

    /// The limits that apply to this zone now: those of the permit, of the quota, or zero.
    [[nodiscard]] LoadLimits permittedLimits(TimePoint now) const;
    /// Whether the partition quota applies, because the control leader has not answered for two permit leases and the
    /// longest load.
    [[nodiscard]] bool usesQuota(TimePoint now) const;
    /// Time at which tryStart() may next succeed, provided that no other load starts and the limits do not change;
    /// TimePoint::max() if a load must end or a permit arrive first.
    [[nodiscard]] TimePoint nextStart(TimePoint now) const;
    /// Number of adapter loads in progress in the zone.
    [[nodiscard]] int inFlight() const;

    /// Returns the next request to send, after giving up what exceeds `wanted`; see relinquishExcess().
    [[nodiscard]] PermitRequest makeRequest(const Zone &zone, FencingNumber fencing, LoadLimits wanted, TimePoint now);

private:
    [[nodiscard]] TimePoint quotaUsableFrom() const;
    /// Number of loads that the rate has accrued since the last start, capped at one (a token bucket of size one). So
    /// in any period a zone starts at most one load more than its rate allows.
    [[nodiscard]] double credit(TimePoint now) const;

    PermitTiming m_timing;
    TimePoint m_lastAnswerAt;
    double m_credit = 0;
    TimePoint m_creditUpdatedAt;
    TimePoint m_validUntil;
    LoadLimits m_granted;
    LoadLimits m_quota;
    PermitId m_stamp;
    int m_inFlight = 0;
};

} // namespace tamarackcove
