#include "FleetNodeImpl.h"
#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

/// How long the planner treats a server as unreachable after an entry has reported it so; see
/// AdapterPlanner::markUnreachable(). Entries repeat that report five times a second.
static constexpr milliseconds SuspicionTime{500};
/// Shortest interval at which the planner receives the request load of each server.
static constexpr milliseconds LoadsInterval{100};
/// Shortest time between two rounds in which the planner considers the demands of entries, and the largest number of
/// demands of one round. They bound the CPU time of the leader however many requests wait.
static constexpr milliseconds PlanInterval{10};
static constexpr std::size_t MaxDemandsPerRound = 12;
/// Largest number of copies of one adapter that are queued in one round.
static constexpr int MaxCopiesPerRound = 4;

void FleetNode::Impl::applyReport(const FleetReportMessage &report)
{
    ++reportCount;
    if (!leading) {
        applyCrashes(report);
        return;
    }
    applyAllowances(report);
    for (const auto &server : report.servers) {
        const auto endpoint = Endpoint::parse(server.endpoint);
        ServerHeartbeat reportedServer;
        reportedServer.identity = {.id = TargetId(server.id), .startedAt = Incarnation(server.startedAt)};
        reportedServer.service = ServiceName(server.service);
        reportedServer.zone = Zone(server.zone);
        reportedServer.slots = server.slots;
        for (const auto &model : server.models) {
            reportedServer.models.push_back({.name = BaseModel(model), .version = 0, .adapters = {}});
        }
        if (!endpoint) {
            continue;
        }
        reportedServer.endpoint = *endpoint;
        const auto now = Clock::now();
        if (registry.addUnannounced(reportedServer, server.draining, now)) {
            updatePlanner(reportedServer);
        } else if (registry.hasEnded(reportedServer.identity, now)) {
            // The whole state has told the entry only of the starts that are on record.
            feed.addDeparture(reportedServer.identity);
            links.scheduleStateUpdate();
        }
    }
    if (!report.servers.empty()) {
        publishServers();
    }
    for (const auto &server : report.leaving) {
        noteLeaving({.id = TargetId(server.id), .startedAt = Incarnation(server.startedAt)}, report.entry);
    }
    applyCrashes(report);
    if (!dispatcher.active()) {
        return;
    }
    const auto now = Clock::now();
    applyDemands(report, now);
    if (report.onlyNewDemands) {
        return;
    }
    if (now >= loadsUpdatedAt + LoadsInterval) {
        loadsUpdatedAt = now;
        for (const auto &load : links.totalLoads()) {
            planner.setLoad(TargetId(load.server), load.load);
        }
    }
    for (const auto &history : report.histories) {
        std::vector<AdapterKey> adapters;
        adapters.reserve(history.adapters.size());
        for (const auto &name : history.adapters) {
            adapters.push_back({BaseModel(history.model), name});
        }
        planner.addCachedAdapters({.id = TargetId(history.server), .startedAt = Incarnation(history.startedAt)},
                                  adapters);
    }
    for (const auto &use : report.uses) {
        const AdapterKey adapter{BaseModel(use.model), use.adapter};
        if (use.missing) {
            planner.handleMissingAdapter(TargetId(use.server), adapter, now);
        } else if (use.overdueMs > 0) {
            planner.recordLateLoad(TargetId(use.server), adapter, milliseconds(use.overdueMs), now);
        } else {
            planner.recordUse(TargetId(use.server), adapter, EntryId(report.entry), use.requests, use.running, now);
        }
    }
    for (const auto &server : report.unreachable) {
        planner.markUnreachable(TargetId(server), now + SuspicionTime);
    }
    publishHoldings();
}

void FleetNode::Impl::noteLeaving(const ServerIdentity &identity, std::string_view reportedBy)
{
    const auto *server = registry.find(identity.id);
    if (!leading || server == nullptr || server->lastHeartbeat.identity != identity || server->draining) {
        return;
    }
    LogLine(LogLevel::Info, "server_draining")
        .add("server", identity.id.value())
        .add("started_at", identity.startedAt.value())
        .add("reported_by", reportedBy);
    const auto heartbeat = server->lastHeartbeat;
    registry.applyDeparture(identity, false);
    updatePlanner(heartbeat);
    publishServers();
    // Nobody waits for this command. If it is lost with this leader, the entry reports the server to the next one.
    const FleetCommand departure = NoteDeparture{.server = identity, .service = heartbeat.service, .gone = false};
    root.startTemporary("leaving-" + std::to_string(++recordTaskCount),
                        [this, bytes = encodeFleetCommand(departure)]() -> asio::awaitable<void> {
                            (void)co_await replica.client().propose(bytes);
                        });
}

void FleetNode::Impl::applyDemands(const FleetReportMessage &report, TimePoint now)
{
    std::vector<DemandTable::Demand> reported;
    reported.reserve(report.demands.size());
    for (const auto &demand : report.demands) {
        reported.push_back({.adapter = {BaseModel(demand.model), demand.adapter},
                            .waiting = demand.waiting,
                            .version = demand.version,
                            .failed = demand.failed,
                            .zone = Zone(report.zone)});
    }
    if (report.onlyNewDemands) {
        demands.put(EntryId(report.entry), reported, now);
    } else {
        demands.replace(EntryId(report.entry), reported, now);
    }
    if (demands.hasDue()) {
        planTimer.cancel();
    }
}

asio::awaitable<void> FleetNode::Impl::planLoads()
{
    TimePoint plannedAt;
    for (;;) {
        planTimer.expires_at(demands.hasDue() ? plannedAt + PlanInterval : TimePoint::max());
        boost::system::error_code ignored;
        co_await planTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = Clock::now();
        if (!demands.hasDue() || now < plannedAt + PlanInterval) {
            continue;
        }
        plannedAt = now;
        for (const auto &demand : demands.takeDue(MaxDemandsPerRound, now)) {
            // Each call queues one copy; many waiting requests need several.
            for (int copies = 0; copies < MaxCopiesPerRound; ++copies) {
                if (!planner.requestLoad(demand.adapter, demand.version, demand.zone, demand.waiting, now,
                                         demand.failed)) {
                    break;
                }
            }
        }
        publishHoldings();
    }
}

} // namespace tamarackcove
