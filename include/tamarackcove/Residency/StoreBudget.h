#pragma once

#include "tamarackcove/Residency/StorePermits.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace tamarackcove {

/// Divides the limits on adapter loads from the weight store among the zones; runs on the leader of the control group.
/// All zones together never exceed the limits.
///
/// Each zone is charged with the most that it may be using: unexpired permits that it has not replaced by a later one,
/// the adapter loads in progress that it reported, and, while it is unreachable, its partition quota. A permit is
/// granted from what the charges of the other zones leave.
///
/// A zone counts as unreachable one permit lease (PermitTiming::lease) after the leader gave the newest answer that the
/// zone is known to have received, by the leader's clock; from then on its quota is set aside. The zone itself uses the
/// quota only after two permit leases and the longest load without an answer. By then every permit granted before the
/// quota was set aside has expired and the loads started under these permits have ended.
///
/// A new leader does not know the charges of its predecessor's term. Until the predecessor's permits have expired and
/// their loads have ended, the new leader extends a permit only up to the smaller of the zone's held permit and its
/// quota.
///
/// Thread safety: used on one thread.
class StoreBudget
{
public:
    struct ZoneSummary
    {
        Zone zone;
        /// Upper bound on the loads that the zone may be starting and running now.
        LoadLimits charged;
        LoadLimits quota;
        bool reachable = false;
    };

    /// Precondition: zones are distinct.
    StoreBudget(PermitTiming timing, LoadLimits limits, std::vector<Zone> zones);

    void setLimits(LoadLimits limits);
    /// Starts the term in which this process is the leader; discards the charges of earlier terms.
    void beginTerm(TimePoint now, std::uint64_t term);

    /// Answers a permit request. Returns no value if the zone is unknown or a coordinator of the zone with a higher
    /// fencing number has already sent a request.
    /// Precondition: this process was the leader at some time after the request was received.
    [[nodiscard]] std::optional<PermitAnswer> answerRequest(TimePoint now, const PermitRequest &request);

    /// The partition quota: the part of the limits that a zone may use while it cannot reach the control group. The
    /// quotas of all zones add up to at most the limits.
    [[nodiscard]] LoadLimits quotaOf(const Zone &zone) const;
    [[nodiscard]] std::vector<ZoneSummary> summary(TimePoint now) const;
    [[nodiscard]] const LoadLimits &limits() const;

private:
    struct Grant
    {
        std::uint64_t number = 0;
        FencingNumber fencing;
        LoadLimits permittedLimits;
        TimePoint grantedAt;
    };
    struct Account
    {
        /// Whether a request of the zone has shown that it received an answer of this term.
        bool hasReceivedAnswer = false;
        /// When the leader gave the newest answer that a request of the zone has acknowledged.
        TimePoint lastReceivedGrantAt;
        FencingNumber fencing;
        LoadLimits wanted;
        int inFlight = 0;
        TimePoint reportedAt;
        std::deque<Grant> grants;
        /// The largest partition quota that the leader may have sent to the zone; after a change of the limits the zone
        /// may still use the old quota.
        LoadLimits quota;
        /// Permit answers with this number or a higher one contain the current partition quota.
        std::uint64_t firstAnswerNumberWithQuota = 0;
    };

    [[nodiscard]] bool reachable(const Account &account, TimePoint now) const;
    [[nodiscard]] bool predecessorPermitsActive(TimePoint now) const;
    /// Upper bound on the loads that the zone may be starting and running now.
    [[nodiscard]] LoadLimits chargeOf(const Account &account, TimePoint now) const;
    /// The zone's share of the limits, without the quotas of unreachable zones.
    [[nodiscard]] LoadLimits fairShare(const Zone &zone, TimePoint now) const;
    [[nodiscard]] double rateShare(const Zone &zone, const std::vector<Zone> &zones, double capacity) const;
    [[nodiscard]] int concurrentLoadsShare(const Zone &zone, const std::vector<Zone> &zones, int capacity,
                                           TimePoint now) const;
    void recordRequest(Account &account, const PermitRequest &request, TimePoint now);

    PermitTiming m_timing;
    LoadLimits m_limits;
    std::map<Zone, Account> m_accounts;
    TimePoint m_termStartedAt;
    std::uint64_t m_term = 0;
    std::uint64_t m_lastNumber = 0;
};

} // namespace tamarackcove
