#include "tamarackcove/Fleet/AllowanceLedger.h"

#include "tamarackcove/Fleet/AllowanceTimes.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

/// Interval at which shares are computed again. Entries report at this interval.
static constexpr milliseconds ReviewInterval{200};
/// Time in which entries report to a new leader which shares they hold. Until then, shares of an earlier leader may be
/// outstanding; afterwards only if an entry has reported one.
static constexpr milliseconds SettlingTime{1000};

void AllowanceLedger::begin(TimePoint now)
{
    *this = {};
    m_beganAt = now;
}

void AllowanceLedger::setWorkspaces(const std::vector<Workspace> &workspaces, TimePoint now)
{
    std::set<WorkspaceName> names;
    if (!active()) {
        // No entry reports before it has a configuration with allowances.
        m_beganAt = now;
    }
    for (const auto &workspace : workspaces) {
        if (!workspace.allowance) {
            continue;
        }
        names.insert(workspace.name);
        const auto [found, isNew] = m_accounts.try_emplace(workspace.name, *workspace.allowance, now);
        if (!isNew) {
            found->second.setAllowance(*workspace.allowance, now);
        }
    }
    std::erase_if(m_accounts, [&](const auto &item) { return !names.contains(item.first); });
    std::erase_if(m_queued, [&](const auto &name) { return !names.contains(name); });
    for (auto &[id, entry] : m_entries) {
        std::erase_if(entry.changed, [&](const auto &name) { return !names.contains(name); });
    }
    m_reviewedAt = {};
}

bool AllowanceLedger::active() const
{
    return !m_accounts.empty();
}

void AllowanceLedger::decide(WorkspaceAccount &account, TimePoint now)
{
    for (const auto &decision : account.decide(now)) {
        if (const auto found = m_entries.find(decision.entry); found != m_entries.end()) {
            found->second.decisions.push_back({.number = decision.lease, .granted = decision.granted});
            m_decided.insert(decision.entry);
        }
    }
}

void AllowanceLedger::applyReport(const EntryId &id, const AllowanceReport &report, TimePoint now)
{
    if (!active()) {
        return;
    }
    auto &entry = m_entries[id];
    entry.heardAt = now;
    entry.reportMadeAt = report.madeAt;
    entry.connected = true;
    if (report.isFirst) {
        entry.answerNumber = 0;
        entry.changed.clear();
        entry.decisions.clear();
        if (now < m_beganAt + SettlingTime / 2) {
            m_timeWithoutLeader = std::min(m_timeWithoutLeader.value_or(report.withoutLeader), report.withoutLeader);
        }
        m_hadPredecessor = m_hadPredecessor || !report.held.empty();
        for (auto &[name, account] : m_accounts) {
            const auto held
                = std::find_if(report.held.begin(), report.held.end(),
                               [&workspace = name](const auto &share) { return share.workspace == workspace; });
            account.noteHeld(id, held == report.held.end() ? nullptr : &*held);
            ++m_visits;
        }
    }
    for (auto &[name, account] : m_accounts) {
        account.noteApplied(id, report.appliedNumber);
    }
    for (const auto &use : report.uses) {
        ++m_visits;
        if (const auto found = m_accounts.find(use.workspace); found != m_accounts.end()) {
            found->second.noteUse(id, use, now);
        }
    }
    for (const auto &request : report.leaseRequests) {
        ++m_visits;
        const auto found = m_accounts.find(request.workspace);
        if (found == m_accounts.end()) {
            entry.decisions.push_back({.number = request.number, .granted = false});
            m_decided.insert(id);
            continue;
        }
        found->second.request(id, request.number, request.units, now);
        m_queued.insert(request.workspace);
    }
    if (now >= m_reviewedAt + ReviewInterval) {
        review(now);
    }
    decideQueued(now);
}

bool AllowanceLedger::hasQueued() const
{
    return !m_queued.empty();
}

void AllowanceLedger::decideQueued(TimePoint now)
{
    for (auto it = m_queued.begin(); it != m_queued.end();) {
        auto &account = m_accounts.at(*it);
        decide(account, now);
        it = account.hasRequests() ? std::next(it) : m_queued.erase(it);
    }
}

void AllowanceLedger::review(TimePoint now)
{
    m_reviewedAt = now;
    std::map<EntryId, WorkspaceAccount::EntryState> states;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto &entry = it->second;
        const bool live = entry.connected && now < entry.heardAt + AllowanceTimes::SilenceLimit;
        if (!live && now >= entry.heardAt + AllowanceTimes::Validity) {
            it = m_entries.erase(it);
            continue;
        }
        states.emplace(it->first, WorkspaceAccount::EntryState{.heardAt = entry.heardAt, .live = live});
        ++it;
    }
    const auto unknownUntil
        = m_beganAt + (m_hadPredecessor ? duration_cast<milliseconds>(AllowanceTimes::Validity) : SettlingTime);
    if (m_timeWithoutLeader && now >= m_beganAt + SettlingTime / 2) {
        const auto time = *std::exchange(m_timeWithoutLeader, std::nullopt);
        for (auto &[name, account] : m_accounts) {
            account.creditTimeWithoutLeader(time, now);
        }
    }
    const bool settling = now < m_beganAt + 2 * SettlingTime;
    for (auto &[name, account] : m_accounts) {
        for (const auto &id : account.review(states, unknownUntil, settling, now)) {
            m_entries[id].changed.insert(name);
        }
    }
}

void AllowanceLedger::noteDisconnected(const EntryId &id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.connected = false;
    }
}

std::optional<AllowanceAnswer> AllowanceLedger::takeAnswer(const EntryId &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (!active() || found == m_entries.end() || !found->second.connected
        || now >= found->second.heardAt + AllowanceTimes::SilenceLimit) {
        return std::nullopt;
    }
    auto &entry = found->second;
    AllowanceAnswer answer;
    answer.reportMadeAt = entry.reportMadeAt;
    answer.decisions = std::exchange(entry.decisions, {});
    if (!entry.changed.empty()) {
        ++entry.answerNumber;
        for (const auto &name : std::exchange(entry.changed, {})) {
            answer.shares.emplace_back(name, m_accounts.at(name).takeShare(id, entry.answerNumber));
            ++m_visits;
        }
    }
    answer.number = entry.answerNumber;
    return answer;
}

std::set<EntryId> AllowanceLedger::takeDecided()
{
    return std::exchange(m_decided, {});
}

std::vector<std::pair<WorkspaceName, WorkspaceAccount::Totals>> AllowanceLedger::totals() const
{
    std::vector<std::pair<WorkspaceName, WorkspaceAccount::Totals>> all;
    all.reserve(m_accounts.size());
    for (const auto &[name, account] : m_accounts) {
        all.emplace_back(name, account.totals());
    }
    return all;
}

std::uint64_t AllowanceLedger::visits() const
{
    auto visits = m_visits;
    for (const auto &[name, account] : m_accounts) {
        visits += account.visits();
    }
    return visits;
}

} // namespace tamarackcove
