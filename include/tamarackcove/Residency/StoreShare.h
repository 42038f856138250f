#pragma once

#include "tamarackcove/Residency/StorePermits.h"

namespace tamarackcove {

/// A zone coordinator's side of the store budget: whether it may start a load now.
///
/// It works by the newest permit while that is valid. Without any answer for two leases and the longest load it uses
/// the partition quota, which the control leader has set aside by then; see StoreBudget.
/// Thread safety: used on one thread.
class StoreShare
{
public:
    /// Starts without rights. The silence that leads to the quota counts from `now`, since the time of the last answer
    /// to a coordinator before is not known. `inFlight` is the number of loads in progress in the zone.
    StoreShare(PermitTiming timing, TimePoint now, int inFlight = 0);

    /// Takes an answer to a request that was sent at `sentAt`. An answer with an older stamp than the newest is
    /// dropped.
    void received(const PermitAnswer &answer, TimePoint sentAt, TimePoint now);
    /// The quota, learned from any message of the control group.
    void setQuota(StoreRights quota, TimePoint now);

    /// Gives up what a permit allows beyond `wanted`, so that another zone can have it at once. The request that
    /// follows must tell the leader; see StoreBudget::request().
    void relinquish(StoreRights wanted, TimePoint now);

    /// Starts a load if the rights allow it now.
    /// Precondition: this coordinator's zone lease is valid.
    [[nodiscard]] bool tryStart(TimePoint now);
    /// A load has ended, or was given up after its deadline.
    void finished();

    /// What this zone may use now.
    [[nodiscard]] StoreRights rights(TimePoint now) const;
    [[nodiscard]] bool usesQuota(TimePoint now) const;
    /// When tryStart() may next succeed, if no other load starts and the rights stay; TimePoint::max() when a load must
    /// end or a permit arrive first.
    [[nodiscard]] TimePoint nextStart(TimePoint now) const;
    [[nodiscard]] int inFlight() const;

    /// The request to send next; gives up what is not wanted.
    [[nodiscard]] PermitRequest request(const Zone &zone, FencingNumber fencing, StoreRights wanted, TimePoint now);

private:
    [[nodiscard]] TimePoint quotaFrom() const;
    /// Loads that the rights since the last start have allowed, at most one: over any time a zone starts no more loads
    /// than its rates allow, plus one.
    [[nodiscard]] double credit(TimePoint now) const;

    PermitTiming m_timing;
    TimePoint m_lastAnswer;
    double m_credit = 0;
    TimePoint m_creditAt;
    TimePoint m_validUntil;
    StoreRights m_granted;
    StoreRights m_quota;
    PermitStamp m_stamp;
    int m_inFlight = 0;
};

} // namespace tamarackcove
