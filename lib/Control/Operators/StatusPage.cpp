#include "tamarackcove/Control/Operators/StatusPage.h"

#include "tamarackcove/Control/State/ReplicatedState.h"
#include "tamarackcove/Control/Watchers/EntryRegistry.h"
#include "tamarackcove/Control/Watchers/LeaderState.h"

namespace tamarackcove {

using nlohmann::json;

// Three times the watch wait of an entry, which is two seconds: a connected entry sends a watch at least once in each
// watch wait.
static constexpr seconds SilenceTimeout{6};

static std::int64_t millisecondsSince(TimePoint then, TimePoint now)
{
    return duration_cast<milliseconds>(now - then).count();
}

static json replicas(const LogStatus &status)
{
    json list = json::array();
    for (const auto &replica : status.replicas) {
        list.push_back({{"id", replica.id.value()},
                        {"voter", replica.voter},
                        {"reachable", replica.reachable},
                        {"matched_index", replica.matchedIndex}});
    }
    return list;
}

static json entries(const EntryRegistry &registry, Revision revision, TimePoint now)
{
    json list = json::array();
    json behind = json::array();
    json silent = json::array();
    std::size_t entriesInForce = 0;
    for (const auto &[id, entry] : registry.entries()) {
        list.push_back({{"entry", id.value()},
                        {"zone", entry.zone.value()},
                        {"held", entry.heldRevision.value()},
                        {"in_force", entry.revisionInForce.value()},
                        {"last_heard_ms", millisecondsSince(entry.lastWatchAt, now)}});
        if (now - entry.lastWatchAt > SilenceTimeout) {
            silent.push_back(id.value());
        } else if (entry.revisionInForce < revision) {
            behind.push_back(id.value());
        } else {
            ++entriesInForce;
        }
    }
    return {{"in_force", entriesInForce}, {"behind", behind}, {"silent", silent}, {"list", list}};
}

static json plans(const ConfigurationState &state)
{
    json list = json::array();
    for (const auto &[id, plan] : state.contents().pending) {
        list.push_back({{"plan", id.value()},
                        {"intent", plan->intent->name.value()},
                        {"base_revision", plan->base.value()},
                        {"confirmable", plan->base >= state.contents().operatorRevision}});
    }
    return list;
}

static std::string hex(std::uint64_t value)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit, value >>= 4) {
        *digit = Digits[value & 0xf];
    }
    return text;
}

static json quarantine(const QuarantineLedger &ledger)
{
    constexpr std::size_t MaxListed = 100;
    json list = json::array();
    for (const auto &[fingerprint, crash] : ledger.contents().quarantined) {
        if (list.size() < MaxListed) {
            list.push_back({{"fingerprint", hex(fingerprint)}, {"target", crash.target.value()}});
        }
    }
    return {{"count", ledger.contents().quarantined.size()},
            {"suspects", ledger.contents().suspects.size()},
            {"list", list}};
}

static json store(const ControlParts &parts, TimePoint now)
{
    const auto &budget = parts.leaderState.budget();
    json zones = json::array();
    for (const auto &zone : budget.summary(now)) {
        zones.push_back({{"zone", zone.zone.value()},
                         {"reachable", zone.reachable},
                         {"loads_per_second", zone.charged.loadsPerSecond},
                         {"concurrent_loads", zone.charged.concurrentLoads},
                         {"quota_loads_per_second", zone.quota.loadsPerSecond},
                         {"quota_concurrent_loads", zone.quota.concurrentLoads}});
    }
    const auto &limits = parts.state.state().servingConfiguration().store;
    return {
        {"loads_per_second", limits.loadsPerSecond}, {"concurrent_loads", limits.concurrentLoads}, {"permits", zones}};
}

static json zones(const LeaderState &leaderState, TimePoint now)
{
    json list = json::array();
    for (const auto &[zone, report] : leaderState.reports()) {
        list.push_back({{"zone", zone.value()},
                        {"coordinator", report.coordinator.value()},
                        {"fencing", report.fencing.value()},
                        {"reported_ms", millisecondsSince(report.receivedAt, now)},
                        {"targets", report.targets}});
    }
    return list;
}

json statusPage(const ControlParts &parts, TimePoint now, bool leadershipConfirmed)
{
    parts.entries.removeExpired(now);
    const auto log = parts.log.status();
    const auto &state = parts.state.state();
    const auto revision = state.servingConfiguration().revision;
    json page = {{"revision", revision.value()},
                 {"current", leadershipConfirmed},
                 {"self", log.self.value()},
                 {"role", log.role},
                 {"term", log.term},
                 {"commit_index", log.commitIndex},
                 {"applied_index", log.appliedIndex},
                 {"leader", log.leader ? json(log.leader->toString()) : json()},
                 {"replicas", replicas(log)},
                 {"losses_tolerated", log.lossesTolerated},
                 {"adapters", state.servingConfiguration().adapters.size()},
                 {"intents", state.contents().intents.size()},
                 {"last_confirmed_plan", state.contents().lastConfirmedPlan.value()},
                 {"entries", entries(parts.entries, revision, now)},
                 {"plans_pending", plans(state)},
                 {"quarantine", quarantine(state.quarantine())},
                 {"call_reservations", state.calls().contents().records.size()}};
    if (leadershipConfirmed) {
        // Only the leader has the store budget and the reports of the zones.
        page["store"] = store(parts, now);
        page["zones"] = zones(parts.leaderState, now);
    }
    return page;
}

} // namespace tamarackcove
