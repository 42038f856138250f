#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/AllowanceReport.h"
#include "tamarackcove/Fleet/LeasedShare.h"
#include "tamarackcove/Fleet/WorkspaceAllowance.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <vector>

namespace tamarackcove {

/// The allowance of one workspace at the leader of the control hosts: the shares of the entries, and the pool, a token
/// bucket of what is not leased, from which one-time leases are granted.
///
/// The rates of the pool and of the shares in use together are at most the rate of the allowance, and so are the
/// bursts. A share counts as leased until the entry has applied a smaller one or the share has expired.
///
/// Thread safety: used on one thread.
class WorkspaceAccount
{
public:
    /// An entry as the leader knows it.
    struct EntryState
    {
        TimePoint heardAt;
        /// Whether it is connected and has reported within AllowanceTimes::SilenceLimit.
        bool live = false;
    };
    struct Decision
    {
        EntryId entry;
        std::uint64_t lease = 0;
        bool granted = false;
    };
    struct Totals
    {
        /// Units per second that requests have asked for, over the last second or so.
        double requestedRate = 0;
        /// Units used since this host became leader.
        double usedUnits = 0;
        double poolLevel = 0;
        double poolRate = 0;
        /// The standalone rates of all shares.
        double leasedRate = 0;
        /// The part of it at entries that the leader does not hear from.
        double silentRate = 0;
        double admittedPart = 1;
    };

    /// Starts with an empty pool, because an earlier leader may just have spent it.
    WorkspaceAccount(const WorkspaceAllowance &allowance, TimePoint now);

    void setAllowance(const WorkspaceAllowance &allowance, TimePoint now);
    void noteUse(const EntryId &entry, const AllowanceReport::Use &use, TimePoint now);
    /// Adds to the pool what no leader has granted from it for this time.
    void creditTimeWithoutLeader(Duration time, TimePoint now);
    /// Notes the share that an entry held when it connected; null if it held none.
    void noteHeld(const EntryId &entry, const AllowanceReport::HeldShare *held);
    /// Notes that the entry has applied all answers up to this number.
    void noteApplied(const EntryId &entry, std::uint64_t number);
    /// Queues a request for a one-time lease; refuses it at once if the queue is too long.
    void request(const EntryId &entry, std::uint64_t lease, double units, TimePoint now);
    /// Decides on the queued requests in their order, as far as the pool allows, and returns all new decisions.
    std::vector<Decision> decide(TimePoint now);
    /// Computes the shares again. Shares of an earlier leader at entries that have not reported may be outstanding
    /// until `unknownUntil`. While this host has just become leader (`settling`), the pool is low and entries may
    /// overdraw their buckets. Returns the entries whose share has changed.
    std::vector<EntryId> review(const std::map<EntryId, EntryState> &entries, TimePoint unknownUntil, bool settling,
                                TimePoint now);
    /// The share to be sent to the entry in the answer with this number.
    [[nodiscard]] LeasedShare takeShare(const EntryId &entry, std::uint64_t number);

    [[nodiscard]] bool hasRequests() const;
    [[nodiscard]] Totals totals() const;
    /// Shares that reviews have visited.
    [[nodiscard]] std::uint64_t visits() const;

private:
    static constexpr std::uint64_t NotSent = std::numeric_limits<std::uint64_t>::max();

    struct Holder
    {
        LeasedShare share;
        /// The answer that carries `share`; NotSent until it is sent, 0 once the entry has applied it.
        std::uint64_t unappliedNumber = 0;
        bool hasShare = false;
        /// The most that the entry may use: the maximum of the share and of earlier ones that it may still hold.
        double countedRate = 0;
        double countedBurst = 0;
        double countedStandaloneRate = 0;
        /// Recent requests, decaying with DemandTime.
        double requests = 0;
    };
    struct Request
    {
        EntryId entry;
        std::uint64_t lease = 0;
        double units = 0;
        TimePoint queuedAt;
    };
    /// Sums over the shares.
    struct Sums
    {
        std::size_t live = 0;
        double leased = 0;
        double silent = 0;
        double localRate = 0;
        double localBurst = 0;
        double requests = 0;
    };

    void refill(TimePoint now);
    void decayDemand(TimePoint now);
    [[nodiscard]] double burst() const;
    /// What may be used beyond the limit for failures, in a window.
    [[nodiscard]] double failureReserve() const;
    /// Units that the pool may be overdrawn by, so that the decision does not depend on the size of a request.
    [[nodiscard]] double poolOverdraft() const;
    [[nodiscard]] bool poolGrants(double units) const;
    [[nodiscard]] Sums sumUp(const std::map<EntryId, EntryState> &entries);
    /// Decides whether entries use their shares while the leader answers.
    void chooseSharesInUse(double sharedBurst, double live);
    /// The share with this standalone rate. `sharedBurst` is what all shares together have of the burst.
    [[nodiscard]] LeasedShare shareAt(double standaloneRate, double sharedBurst, bool mayOverdraw,
                                      bool isColdStart) const;
    void updatePool(const Sums &sums, double unknown);
    void updateAdmittedPart(const Sums &sums);

    WorkspaceAllowance m_allowance;
    std::map<EntryId, Holder> m_holders;
    std::deque<Request> m_requests;
    std::vector<Decision> m_decisions;
    double m_queuedUnits = 0;
    double m_poolLevel = 0;
    double m_poolRate = 0;
    double m_poolBurst = 0;
    TimePoint m_filledAt;
    TimePoint m_decayedAt;
    TimePoint m_reviewedAt;
    /// Requested units, decaying with LoadTime, and the number and cost of requests, decaying with DemandTime.
    double m_recentUnits = 0;
    double m_sampleRequests = 0;
    double m_sampleUnits = 0;
    double m_largestRequest = 0;
    double m_admittedPart = 1;
    double m_usedUnits = 0;
    double m_leasedRate = 0;
    double m_silentRate = 0;
    /// The number of entries that held shares of an earlier leader, as far as entries have reported it.
    std::uint64_t m_reportedHolders = 0;
    /// Whether entries use their shares while the leader answers; not if a share would not hold a request.
    bool m_sharesInUse = false;
    std::uint64_t m_visits = 0;
};

} // namespace tamarackcove
