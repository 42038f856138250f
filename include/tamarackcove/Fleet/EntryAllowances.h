#pragma once

#include "tamarackcove/Fleet/AllowanceAnswer.h"
#include "tamarackcove/Fleet/AllowanceReport.h"
#include "tamarackcove/Fleet/AllowanceShare.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// The shares of the allowances of all workspaces at one entry: decides on each request from the share of its
/// workspace, and keeps what is reported to the leader of the control hosts.
///
/// Thread safety: used on one thread.
class EntryAllowances
{
public:
    struct Hooks
    {
        /// Draws a number uniformly from [0, 1).
        std::function<double()> draw;
    };
    enum class Verdict {
        Granted,
        /// The share does not hold the cost. The leader is asked for a one-time lease, and settle() decides when it has
        /// answered or MaxLeaseWait has passed.
        AwaitsLease,
        Refused,
    };
    struct Decision
    {
        Verdict verdict = Verdict::Refused;
        /// A fixed word, used as metric label and log value.
        std::string_view reason;
        /// Identifies the one-time lease of Verdict::AwaitsLease.
        std::uint64_t lease = 0;
    };
    struct Usage
    {
        WorkspaceName workspace;
        LeasedShare share;
        double level = 0;
        AllowanceShare::Mode mode = AllowanceShare::Mode::Expired;
    };
    /// How long a request waits for its one-time lease. The goals of routes allow for it.
    static constexpr milliseconds MaxLeaseWait{150};

    explicit EntryAllowances(Hooks hooks);

    /// Whether the configuration in force has allowances. Without, nothing is reported.
    void setActive(bool active);
    /// Decides on a request of this cost. Precondition: the workspace has an allowance.
    [[nodiscard]] Decision decide(const Workspace &workspace, double units, TimePoint now);
    /// Decides on a request that has awaited its lease: by the decision of the leader, or without one by the overdraft
    /// of the share.
    [[nodiscard]] Decision settle(const Workspace &workspace, double units, std::uint64_t lease, TimePoint now);
    /// Returns the cost of a request that was granted and was not sent to a server.
    void giveBack(const WorkspaceName &workspace, double units, TimePoint now);
    /// When a refused request should be sent again.
    [[nodiscard]] milliseconds retryAfter(const WorkspaceName &workspace, double units, TimePoint now);

    /// The next report is the first one to a leader.
    void meetLeader();
    /// No leader is connected any more.
    void loseLeader(TimePoint now);
    /// Applies an answer of the leader and returns the leases that it has decided on.
    std::vector<std::uint64_t> apply(const AllowanceAnswer &answer, TimePoint now);
    /// The report since the last call; nothing if the configuration has no allowances.
    [[nodiscard]] std::optional<AllowanceReport> takeReport(TimePoint now);
    /// When the last report was made that a leader has answered.
    [[nodiscard]] TimePoint renewedAt() const;
    [[nodiscard]] std::vector<Usage> usage(TimePoint now);

private:
    Hooks m_hooks;
    bool m_active = false;
    bool m_leaderConnected = false;
    bool m_nextReportIsFirst = false;
    std::uint64_t m_appliedNumber = 0;
    std::uint64_t m_lastLease = 0;
    TimePoint m_renewedAt;
    std::map<WorkspaceName, AllowanceShare> m_shares;
    std::vector<AllowanceReport::LeaseRequest> m_unsentRequests;
    /// The decisions of the leader that requests have not settled yet.
    std::map<std::uint64_t, bool> m_decisions;
    /// Leases that requests wait for.
    std::map<std::uint64_t, double> m_awaited;
};

} // namespace tamarackcove
