#pragma once

#include "tamarackcove/Residency/StorePermits.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace tamarackcove {

/// The control leader's account of the weight store: which zone may load how much, such that all zones together never
/// exceed the store's limits.
///
/// Each zone is charged with the most that it may be using: permits that have not run out and that it has not replaced
/// by a later one, loads that it reported, and, while it is unreachable, its partition quota. A permit is given out of
/// what the charges of the others leave. A zone is unreachable from one lease after the newest answer that it is known
/// to have received, by the leader's own clock; it uses its quota only two leases and the longest load after that
/// answer, when every permit that was given before the set-aside has run out and its loads have ended.
///
/// A new leader knows no charges. Until the permits of its predecessor have run out and their loads have ended it
/// extends a permit only as far as both the zone's held permit and its quota allow.
///
/// Thread safety: used on one thread.
class StoreBudget
{
public:
    struct ZoneSummary
    {
        Zone zone;
        StoreRights charged;
        StoreRights quota;
        bool reachable = false;
    };

    /// Precondition: zones are distinct.
    StoreBudget(PermitTiming timing, StoreRights limits, std::vector<Zone> zones);

    void setLimits(StoreRights limits);
    /// Forgets all charges: this process has become the leader of this term.
    void beginTerm(TimePoint now, std::uint64_t term);

    /// Answers a request. Nothing when the zone is unknown, or a later coordinator of it has asked before.
    /// Precondition: this process was the leader at some moment after the request was received.
    [[nodiscard]] std::optional<PermitAnswer> request(TimePoint now, const PermitRequest &request);

    /// The part of the limits that a cut-off zone may use. The quotas add up to at most the limits.
    [[nodiscard]] StoreRights quotaOf(const Zone &zone) const;
    [[nodiscard]] std::vector<ZoneSummary> summary(TimePoint now) const;
    [[nodiscard]] const StoreRights &limits() const;

private:
    struct Grant
    {
        std::uint64_t number = 0;
        FencingNumber fencing;
        StoreRights rights;
        TimePoint at;
    };
    struct Account
    {
        /// Whether the zone has received an answer of this term.
        bool known = false;
        /// When the newest answer that the zone has received was given.
        TimePoint lastReceived;
        FencingNumber fencing;
        StoreRights wanted;
        int inFlight = 0;
        TimePoint reportedAt;
        std::deque<Grant> grants;
        /// The largest quota that the zone may know of.
        StoreRights quota;
        /// An answer of this number or a later one has told the zone its present quota.
        std::uint64_t quotaKnownFrom = 0;
    };

    [[nodiscard]] bool reachable(const Account &account, TimePoint now) const;
    [[nodiscard]] bool predecessorActive(TimePoint now) const;
    [[nodiscard]] StoreRights charge(const Account &account, TimePoint now) const;
    [[nodiscard]] StoreRights share(const Zone &zone, TimePoint now) const;
    [[nodiscard]] double rateShare(const Zone &zone, const std::vector<Zone> &zones, double capacity) const;
    [[nodiscard]] int loadsShare(const Zone &zone, const std::vector<Zone> &zones, int capacity, TimePoint now) const;
    void note(Account &account, const PermitRequest &request, TimePoint now);

    PermitTiming m_timing;
    StoreRights m_limits;
    std::map<Zone, Account> m_accounts;
    TimePoint m_begun;
    std::uint64_t m_term = 0;
    std::uint64_t m_lastNumber = 0;
};

} // namespace tamarackcove
