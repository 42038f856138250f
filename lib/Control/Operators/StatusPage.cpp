#include "tamarackcove/Control/Operators/StatusPage.h"

#include "tamarackcove/Control/State/ReplicatedState.h"
#include "tamarackcove/Control/Watchers/EntryRegistry.h"
#include "tamarackcove/Control/Watchers/LeaderDuties.h"

namespace tamarackcove {

using nlohmann::json;

// An entry sends at least one message in its watch wait of two seconds.
static constexpr seconds ConnectedWithin{6};

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
    std::size_t inForce = 0;
    for (const auto &[id, entry] : registry.entries()) {
        list.push_back({{"entry", id.value()},
                        {"zone", entry.zone.value()},
                        {"held", entry.held.value()},
                        {"in_force", entry.inForce.value()},
                        {"last_heard_ms", millisecondsSince(entry.lastHeard, now)}});
        if (now - entry.lastHeard > ConnectedWithin) {
            silent.push_back(id.value());
        } else if (entry.inForce < revision) {
            behind.push_back(id.value());
        } else {
            ++inForce;
        }
    }
    return {{"in_force", inForce}, {"behind", behind}, {"silent", silent}, {"list", list}};
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
    const auto &budget = parts.duties.budget();
    json zones = json::array();
    for (const auto &zone : budget.summary(now)) {
        zones.push_back({{"zone", zone.zone.value()},
                         {"reachable", zone.reachable},
                         {"loads_per_second", zone.charged.loadsPerSecond},
                         {"concurrent_loads", zone.charged.concurrentLoads},
                         {"quota_loads_per_second", zone.quota.loadsPerSecond},
                         {"quota_concurrent_loads", zone.quota.concurrentLoads}});
    }
    const auto &limits = parts.state.state().serving().store;
    return {
        {"loads_per_second", limits.loadsPerSecond}, {"concurrent_loads", limits.concurrentLoads}, {"permits", zones}};
}

static json zones(const LeaderDuties &duties, TimePoint now)
{
    json list = json::array();
    for (const auto &[zone, report] : duties.reports()) {
        list.push_back({{"zone", zone.value()},
                        {"coordinator", report.coordinator.value()},
                        {"fencing", report.fencing.value()},
                        {"reported_ms", millisecondsSince(report.receivedAt, now)},
                        {"targets", report.targets}});
    }
    return list;
}

json statusPage(const ControlParts &parts, TimePoint now, bool current)
{
    parts.entries.forgetSilent(now);
    const auto log = parts.log.status();
    const auto &state = parts.state.state();
    const auto revision = state.serving().revision;
    json page = {{"revision", revision.value()},
                 {"current", current},
                 {"self", log.self.value()},
                 {"role", log.role},
                 {"term", log.term},
                 {"commit_index", log.commitIndex},
                 {"applied_index", log.appliedIndex},
                 {"leader", log.leader ? json(log.leader->toString()) : json()},
                 {"replicas", replicas(log)},
                 {"losses_tolerated", log.lossesTolerated},
                 {"adapters", state.serving().adapters.size()},
                 {"intents", state.contents().intents.size()},
                 {"last_confirmed_plan", state.contents().lastConfirmedPlan.value()},
                 {"entries", entries(parts.entries, revision, now)},
                 {"plans_pending", plans(state)},
                 {"quarantine", quarantine(state.quarantine())},
                 {"call_reservations", state.calls().contents().records.size()}};
    if (current) {
        // Only the leader has these.
        page["store"] = store(parts, now);
        page["zones"] = zones(parts.duties, now);
    }
    return page;
}

} // namespace tamarackcove
