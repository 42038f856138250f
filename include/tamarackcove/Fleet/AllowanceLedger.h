#pragma once

#include "tamarackcove/Fleet/AllowanceAnswer.h"
#include "tamarackcove/Fleet/AllowanceReport.h"
#include "tamarackcove/Fleet/WorkspaceAccount.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace tamarackcove {

/// Leases shares of the allowances of workspaces to the entries. Kept by the leader of the control hosts in memory; a
/// new leader starts with an empty ledger and learns from the entries which shares they hold.
///
/// Thread safety: used on one thread.
class AllowanceLedger
{
public:
    /// Starts anew, as the ledger of a leader that has just been elected.
    void begin(TimePoint now);
    /// Sets the allowances of the configuration in force. Workspaces without an allowance have no account.
    void setWorkspaces(const std::vector<Workspace> &workspaces, TimePoint now);
    /// Whether there are allowances.
    [[nodiscard]] bool active() const;

    void applyReport(const EntryId &entry, const AllowanceReport &report, TimePoint now);
    /// The connection of the entry has ended. Its shares count as leased until they expire.
    void noteDisconnected(const EntryId &entry);
    /// The answer to the last report of the entry; nothing if the leader does not hear from the entry.
    [[nodiscard]] std::optional<AllowanceAnswer> takeAnswer(const EntryId &entry, TimePoint now);
    /// Whether requests for one-time leases wait for the pool, so that decideQueued() must be called at short
    /// intervals.
    [[nodiscard]] bool hasQueued() const;
    /// Decides on the requests that wait, as far as the pools allow. Also called by applyReport().
    void decideQueued(TimePoint now);
    /// The entries with a decision on a one-time lease since the last call. Their answers should be sent at once.
    [[nodiscard]] std::set<EntryId> takeDecided();

    [[nodiscard]] std::vector<std::pair<WorkspaceName, WorkspaceAccount::Totals>> totals() const;
    /// Reports of uses and requests, and shares, that were visited. A measure of the work of the leader.
    [[nodiscard]] std::uint64_t visits() const;

private:
    struct Entry
    {
        TimePoint heardAt;
        TimePoint reportMadeAt;
        bool connected = false;
        std::uint64_t answerNumber = 0;
        std::set<WorkspaceName> changed;
        std::vector<AllowanceAnswer::LeaseDecision> decisions;
    };

    void review(TimePoint now);
    void decide(WorkspaceAccount &account, TimePoint now);

    TimePoint m_beganAt;
    TimePoint m_reviewedAt;
    /// Whether an entry has reported shares of an earlier leader.
    bool m_hadPredecessor = false;
    /// The shortest time without a leader that an entry has reported; absent if none has, or once it is credited.
    std::optional<Duration> m_timeWithoutLeader;
    std::map<WorkspaceName, WorkspaceAccount> m_accounts;
    std::map<EntryId, Entry> m_entries;
    /// Accounts with requests in their queues.
    std::set<WorkspaceName> m_queued;
    std::set<EntryId> m_decided;
    std::uint64_t m_visits = 0;
};

} // namespace tamarackcove
