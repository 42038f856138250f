#include "tamarackcove/Control/Fleet/FleetNode.h"

#include "tamarackcove/Control/Fleet/EntryLinks.h"
#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Control/Fleet/FleetLog.h"
#include "tamarackcove/Control/Fleet/OrderDispatcher.h"
#include "tamarackcove/Control/Fleet/UpdateFeed.h"
#include "tamarackcove/Control/LogStatus.h"
#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Fleet/AdapterPlanner.h"
#include "tamarackcove/Fleet/DemandTable.h"
#include "tamarackcove/Http/MetricsEndpoint.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Storage/DataFolder.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds TransferTimeout{1500};
/// Interval between checks for servers whose heartbeats have stopped.
static constexpr milliseconds ExpiryInterval{500};
/// Delay before the leader again proposes itself as holder of the order duty (TakeOrderDuty), after the log has not
/// accepted the proposal.
static constexpr milliseconds DutyRetryDelay{50};
/// How long the planner treats a server as unreachable after an entry has reported it so; see
/// AdapterPlanner::markUnreachable(). Entries repeat that report five times a second.
static constexpr milliseconds SuspicionTime{500};
/// Shortest interval at which the planner receives the request load of each server.
static constexpr milliseconds LoadsInterval{100};
/// Shortest time between two rounds in which the planner considers the demands of entries, and the largest number of
/// demands of one round. They bound the CPU time of the leader however many requests wait.
static constexpr milliseconds PlanInterval{10};
static constexpr std::size_t MaxDemandsPerRound = 12;
/// Longest time for which a leader whose lease has expired keeps what it knows of servers and entries, and entries keep
/// to it. The other control hosts elect a new leader within about this time.
static constexpr milliseconds MaxSuspension{600};
/// Added to the order lease while waiting for a former holder of the order duty, for its orders that are still in
/// transit.
static constexpr milliseconds LeaseMargin{150};

static ReplicaSettings replicaSettings(const FleetControlSettings &settings, const std::string &boot)
{
    ReplicaSettings replica;
    replica.name = settings.host;
    const auto port = settings.replicaPort;
    replica.locatePeer = [port](const std::string &name) {
        return std::optional(Endpoint{.host = name, .port = port});
    };
    for (const auto &seed : settings.seeds) {
        if (seed != settings.host) {
            replica.peers.push_back({.name = seed, .endpoint = {.host = seed, .port = port}});
        }
    }
    replica.mayFormGroup = settings.firstStart
        && std::find(settings.seeds.begin(), settings.seeds.end(), settings.host) != settings.seeds.end();
    replica.maxVoters = settings.maxVoters;
    replica.boot = boot;
    replica.dataFolder = settings.dataFolder;
    replica.listen = {.host = settings.host, .port = port};
    replica.administration = settings.listen;
    return replica;
}

struct FleetNode::Impl
{
    Impl(const asio::any_io_executor &executor, FleetControlSettings nodeSettings, Hooks nodeHooks)
        : settings(std::move(nodeSettings))
        , hooks(std::move(nodeHooks))
        , root(executor, "control",
               {.onEscalate =
                    [this](std::string_view child) {
                        reportFatal("a task of the control process exceeded its restart limit", child);
                    }})
        , callConnections(executor, "calls")
        , entryConnections(executor, "entries")
        , orderTasks(executor, "orders")
        , log([this](const FleetCommand *command) { handleStateChange(command); })
        , replicaBoot(randomIdentity())
        , replica(root, replicaSettings(settings, replicaBoot), log.hooks(),
                  {.onFatal
                   = [this](const StorageError &error) { reportFatal("cannot use the data folder", error.detail); },
                   .onLeadershipChange =
                       [this](Leadership leadership) {
                           handleLeadershipChange(leadership);
                       }})
        , registry({.heartbeatTimeout = settings.heartbeatInterval * 9 / 2})
        , planner({})
        , demands({})
        , planTimer(executor)
        , feed(log.state(), registry, planner)
        , dispatcher(orderTasks, planner, hooks.dialect, metrics,
                     {.mayGiveOrders = [this] { return replica.leads(); },
                      .onChange =
                          [this] {
                              publishHoldings();
                          }})
        , control(replica.client(), log.state(), registry,
                  {.address = settings.listen,
                   .readConfiguration = hooks.readConfiguration,
                   .onServersChanged = [this] { publishServers(); },
                   .onHeartbeat =
                       [this](const ServerHeartbeat &heartbeat) {
                           metrics.count("heartbeats_total");
                           updatePlanner(heartbeat);
                       }})
        , http(callConnections, limits(), hooks.frontEnd(control))
        , links(entryConnections, feed, demands,
                {.leads = [this] { return leading; },
                 .term = [this] { return replica.client().status().term; },
                 .hosts = [this] { return hosts(); },
                 .serversAnnounced
                 = [this] { return Clock::now() > leadershipStartedAt + settings.heartbeatInterval * 3; },
                 .wantsHistory = [this] { return dispatcher.active(); },
                 .onReport = [this](const FleetReportMessage &report) { applyReport(report); },
                 .onEntryDisconnected =
                     [this](const EntryId &entry) {
                         planner.removeEntry(entry);
                         demands.removeEntry(entry);
                     }})
        , metricsEndpoint(executor, metrics, [this](Metrics &gauges) { setGauges(gauges); })
    {
    }

    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.idleTimeout = seconds(30);
        limits.requestTimeout = seconds(10);
        return limits;
    }

    void reportFatal(std::string_view what, std::string_view detail) const
    {
        LogLine(LogLevel::Critical, "control_fatal").add("reason", what).add("detail", detail);
        hooks.onFatal(what, detail);
    }

    /// Names of the members of the control group, which are their IP addresses.
    [[nodiscard]] std::vector<std::string> hosts()
    {
        std::vector<std::string> names;
        for (const auto &member : replica.client().status().replicas) {
            names.push_back(member.name);
        }
        return names;
    }

    void setGauges(Metrics &gauges);
    /// Applies what a command has changed in the replicated state; everything if the command is null.
    void handleStateChange(const FleetCommand *command);
    void readConfigurationInForce();
    void handleLeadershipChange(Leadership leadership);
    void beginLeadership();
    void endLeadership();
    /// Ends the leadership if it is still suspended after MaxSuspension.
    asio::awaitable<void> awaitLease(std::uint64_t suspensionNumber);
    void publishServers();
    /// Proposes a NoteServer command if the replicated record of the server is outdated. `server` is its entry in the
    /// registry; null if it was removed.
    void proposeServerRecord(const TargetId &id, const ServerRegistry::Server *server);
    void publishHoldings();
    /// Passes a heartbeat to the planner and the dispatcher if this host holds the order duty.
    void updatePlanner(const ServerHeartbeat &heartbeat);
    void applyReport(const FleetReportMessage &report);
    void applyDemands(const FleetReportMessage &report, TimePoint now);
    /// Has the planner consider the demands of entries.
    asio::awaitable<void> planLoads();
    /// Proposes TakeOrderDuty until the log accepts it or this leadership ends. Waits for the order lease first if
    /// `awaitFormerHolder` says that the former holder still runs.
    asio::awaitable<void> acquireOrderDuty(std::uint64_t leadershipNumber, bool awaitFormerHolder);
    asio::awaitable<void> expireServers();

    FleetControlSettings settings;
    Hooks hooks;
    Supervisor root;
    Supervisor callConnections;
    Supervisor entryConnections;
    Supervisor orderTasks;
    Metrics metrics;
    FleetLog log;
    const std::string replicaBoot;
    ReplicaTask replica;
    ServerRegistry registry;
    AdapterPlanner planner;
    DemandTable demands;
    asio::steady_timer planTimer;
    UpdateFeed feed;
    OrderDispatcher dispatcher;
    FleetControl control;
    HttpServer http;
    EntryLinks links;
    MetricsEndpoint metricsEndpoint;
    std::shared_ptr<const DeploymentConfiguration> configuration;
    /// Whether this host is leader, including the first MaxSuspension of a suspension.
    bool leading = false;
    /// Number of suspensions of leadership since the start of the process, and whether the last one lasts.
    std::uint64_t suspensionCount = 0;
    bool suspended = false;
    TimePoint leadershipStartedAt;
    /// Number of times that this host has become or ceased to be leader since the start of the process. A task compares
    /// this number with the one at its own start to detect that the leadership in which it was started has ended.
    std::uint64_t leadershipCount = 0;
    /// Number of the last task started by proposeServerRecord(), used in its name.
    std::uint64_t recordTaskCount = 0;
    TimePoint loadsUpdatedAt;
};

void FleetNode::Impl::setGauges(Metrics &gauges)
{
    const auto gauge = [&](std::string_view name, auto value) {
        gauges.gauge(name, static_cast<double>(value));
    };
    const auto status = replica.client().status();
    const auto count = [&](auto property) {
        return std::count_if(status.replicas.begin(), status.replicas.end(), property);
    };
    gauge("leads", leading);
    gauge("order_duty", dispatcher.active());
    gauge("order_fence", log.state().duty().fence.value());
    gauge("log_term", status.term);
    gauge("log_committed", status.commitIndex);
    gauge("log_applied", status.appliedIndex);
    gauge("log_voters", count([](const ReplicaStatus &member) { return member.voter; }));
    gauge("log_members_reachable", count([](const ReplicaStatus &member) { return member.reachable; }));
    gauge("configuration_version", log.state().configurationVersion());
    gauge("servers", registry.servers().size());
    gauge("entries_connected", links.size());
    const auto totals = planner.totals(Clock::now());
    gauge("adapters_held", totals.held);
    gauge("adapters_loading", totals.loading);
    gauge("adapters_wanted", totals.wanted);
    gauge("store_loads", totals.fromStore);
    gauge("store_load_window", planner.storeLoadWindow().window());
}

void FleetNode::Impl::readConfigurationInForce()
{
    const auto &state = log.state();
    if (!state.document() || (configuration && configuration->version >= state.configurationVersion())) {
        return;
    }
    auto read = hooks.readConfiguration(*state.document());
    if (read.has_error()) {
        // Not expected: the document was parsed when the operator's call was accepted.
        LogLine(LogLevel::Error, "configuration_unreadable").add("reason", read.error());
        return;
    }
    configuration = std::make_shared<const DeploymentConfiguration>(std::move(read).value());
    LogLine(LogLevel::Info, "configuration_in_force").add("version", configuration->version);
}

void FleetNode::Impl::handleStateChange(const FleetCommand *command)
{
    const auto &state = log.state();
    if (command != nullptr
        && (std::holds_alternative<TakeOrderDuty>(*command) || std::holds_alternative<NoteServer>(*command))) {
        // Neither entries nor the planner depend on these; a new leader reads them from the state.
        return;
    }
    if (const auto *departure = command == nullptr ? nullptr : std::get_if<NoteDeparture>(command)) {
        registry.applyDeparture(departure->server, departure->gone);
        if (const auto *server = registry.find(departure->server.id); leading && server != nullptr) {
            updatePlanner(server->lastHeartbeat);
        }
        publishServers();
        return;
    }
    readConfigurationInForce();
    for (const auto &[server, departure] : state.departures()) {
        registry.applyDeparture(server, departure.gone);
    }
    for (const auto &[key, version] : state.weightVersions()) {
        planner.setNewestVersion(key, version, Clock::now());
    }
    if (leading) {
        for (const auto &[id, server] : registry.servers()) {
            updatePlanner(server.lastHeartbeat);
        }
        publishServers();
        dispatcher.wakeChangedServers();
        links.scheduleStateUpdate();
    }
}

void FleetNode::Impl::handleLeadershipChange(Leadership leadership)
{
    suspended = leadership == Leadership::Suspended;
    switch (leadership) {
    case Leadership::None:
        if (leading) {
            endLeadership();
        }
        return;
    case Leadership::Suspended:
        // Under load the lease may expire for some milliseconds several times a second. Starting over each time would
        // add to the load: the whole state to each entry, and a read of the state of each server.
        if (leading) {
            const auto number = ++suspensionCount;
            root.startTemporary("suspension-" + std::to_string(number), [this, number] { return awaitLease(number); });
        }
        return;
    case Leadership::Held:
        if (!leading) {
            beginLeadership();
        }
        return;
    }
}

asio::awaitable<void> FleetNode::Impl::awaitLease(std::uint64_t suspensionNumber)
{
    asio::steady_timer timer(root.executor(), MaxSuspension);
    co_await timer.async_wait(asio::use_awaitable);
    if (leading && suspended && suspensionCount == suspensionNumber) {
        endLeadership();
    }
}

void FleetNode::Impl::endLeadership()
{
    leading = false;
    ++leadershipCount;
    dispatcher.end();
    planner.reset();
    demands.clear();
    registry.clear();
    links.resendEverything();
}

void FleetNode::Impl::beginLeadership()
{
    leading = true;
    ++leadershipCount;
    links.resendEverything();
    leadershipStartedAt = Clock::now();
    for (const auto &[id, server] : log.state().servers()) {
        (void)registry.addUnannounced(server, false, leadershipStartedAt);
    }
    handleStateChange(nullptr);
    // A former holder of the order duty that is unreachable, or whose process has restarted since it took the order
    // duty, does not send orders any more.
    const auto &former = log.state().duty();
    const auto status = replica.client().status();
    const bool formerHolderRuns
        = former.holder != settings.host
        && std::any_of(status.replicas.begin(), status.replicas.end(), [&](const auto &member) {
               return member.reachable && member.name == former.holder && member.boot == former.boot;
           });
    root.startTemporary("duty-" + std::to_string(leadershipCount),
                        [this, formerHolderRuns, leadershipNumber = leadershipCount] {
                            return acquireOrderDuty(leadershipNumber, formerHolderRuns);
                        });
}

asio::awaitable<void> FleetNode::Impl::acquireOrderDuty(std::uint64_t leadershipNumber, bool awaitFormerHolder)
{
    const auto host = settings.host;
    const auto boot = replicaBoot;
    asio::steady_timer timer(root.executor());
    if (awaitFormerHolder) {
        // The former holder may have sent its last order as late as the moment when this host became leader.
        timer.expires_after(settings.orderLease + LeaseMargin);
        co_await timer.async_wait(asio::use_awaitable);
    }
    while (leading && leadershipCount == leadershipNumber) {
        auto command = encodeFleetCommand(TakeOrderDuty{.holder = host, .boot = boot});
        const auto taken = co_await replica.client().propose(std::move(command));
        if (taken.has_value() && leading && leadershipCount == leadershipNumber && log.state().duty().holder == host) {
            dispatcher.begin(host, log.state().duty().fence);
            for (const auto &[id, server] : registry.servers()) {
                updatePlanner(server.lastHeartbeat);
            }
            co_return;
        }
        timer.expires_after(DutyRetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void FleetNode::Impl::updatePlanner(const ServerHeartbeat &heartbeat)
{
    if (!configuration || !dispatcher.active()) {
        return;
    }
    const auto *server = registry.find(heartbeat.identity.id);
    const auto *service = configuration->find(heartbeat.service);
    if (server == nullptr || service == nullptr || !service->engine) {
        return;
    }
    planner.updateServer(heartbeat, server->draining, *service->engine, Clock::now());
    dispatcher.updateServer(heartbeat);
    dispatcher.wakeChangedServers();
}

void FleetNode::Impl::publishServers()
{
    const auto changes = registry.takeChanges();
    if (changes.empty()) {
        return;
    }
    for (const auto &id : changes) {
        const auto *server = registry.find(id);
        if (server == nullptr) {
            planner.removeServer(id);
            dispatcher.removeServer(id);
        }
        proposeServerRecord(id, server);
    }
    links.scheduleServerUpdates(changes);
    publishHoldings();
}

void FleetNode::Impl::proposeServerRecord(const TargetId &id, const ServerRegistry::Server *server)
{
    const auto &recordedServers = log.state().servers();
    const auto recorded = recordedServers.find(id);
    std::optional<NoteServer> change;
    if (server == nullptr && recorded != recordedServers.end()) {
        change = NoteServer{.server = recorded->second, .registered = false};
    } else if (server != nullptr && !server->draining
               && (recorded == recordedServers.end() || recorded->second.identity != server->lastHeartbeat.identity
                   || recorded->second.models.size() != server->lastHeartbeat.models.size())) {
        change = NoteServer{.server = server->lastHeartbeat, .registered = true};
    }
    if (!change || !leading) {
        return;
    }
    // No caller waits for this command. If the command is lost, a later leader learns of the server from the next
    // heartbeat of the server.
    root.startTemporary("note-" + std::to_string(++recordTaskCount),
                        [this, bytes = encodeFleetCommand(*change)]() -> asio::awaitable<void> {
                            (void)co_await replica.client().propose(bytes);
                        });
}

void FleetNode::Impl::publishHoldings()
{
    const auto changes = planner.takeChanges();
    if (!changes.empty()) {
        links.scheduleHoldingUpdates(changes);
    }
    dispatcher.wakeChangedServers();
}

void FleetNode::Impl::applyReport(const FleetReportMessage &report)
{
    if (!leading) {
        return;
    }
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
        if (registry.addUnannounced(reportedServer, server.draining, Clock::now())) {
            updatePlanner(reportedServer);
        }
    }
    if (!report.servers.empty()) {
        publishServers();
    }
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
            while (planner.requestLoad(demand.adapter, demand.version, demand.zone, demand.waiting, now,
                                       demand.failed)) { }
        }
        publishHoldings();
    }
}

asio::awaitable<void> FleetNode::Impl::expireServers()
{
    asio::steady_timer timer(root.executor());
    for (;;) {
        timer.expires_after(ExpiryInterval);
        co_await timer.async_wait(asio::use_awaitable);
        registry.expire(Clock::now());
        publishServers();
    }
}

FleetNode::FleetNode(asio::any_io_executor executor, FleetControlSettings settings, Hooks hooks)
    : m_impl(std::make_unique<Impl>(executor, std::move(settings), std::move(hooks)))
{
}

FleetNode::~FleetNode() = default;

Result<void, std::string> FleetNode::open()
{
    auto &impl = *m_impl;
    if (const auto listening = impl.http.listen(impl.settings.listen); listening.has_error()) {
        return "key [listen]: " + listening.error().detail;
    }
    const Endpoint entries{.host = impl.settings.host, .port = impl.settings.entryPort};
    if (const auto listening = impl.links.listen(entries); listening.has_error()) {
        return "key [entry_port]: " + listening.error().detail;
    }
    if (const auto listening = impl.metricsEndpoint.listen(impl.settings.metricsListen); listening.has_error()) {
        return "key [metrics_listen]: " + listening.error().detail;
    }
    if (const auto opened = impl.replica.open(); opened.has_error()) {
        return "key [data_folder]: " + opened.error().detail;
    }
    LogLine(LogLevel::Info, "listening")
        .add("listen", impl.settings.listen.toString())
        .add("entries", entries.toString())
        .add("replica_port", static_cast<int>(impl.replica.port()));
    return ok();
}

void FleetNode::start()
{
    auto &impl = *m_impl;
    impl.replica.start();
    impl.root.start("entry-links", [&impl] { return impl.links.run(); });
    impl.root.start("entry-updates", [&impl] { return impl.links.publishUpdates(); });
    impl.root.start("plan-loads", [&impl] { return impl.planLoads(); });
    impl.metricsEndpoint.start(impl.root);
    impl.root.start("calls", [&impl] { return impl.http.run(); });
    impl.root.start("expiry", [&impl] { return impl.expireServers(); });
    LogLine(LogLevel::Info, "ready").add("name", impl.settings.name);
}

std::uint16_t FleetNode::apiPort() const
{
    return m_impl->http.port();
}

std::uint16_t FleetNode::entryPort() const
{
    return m_impl->links.port();
}

std::uint16_t FleetNode::metricsPort() const
{
    return m_impl->metricsEndpoint.port();
}

asio::awaitable<void> FleetNode::shutDown()
{
    auto &impl = *m_impl;
    const auto deadline = Clock::now() + impl.settings.drainTimeout;
    impl.dispatcher.end();
    if (impl.replica.leads()) {
        const bool transferred = co_await impl.replica.transferLeadership(TransferTimeout);
        LogLine(LogLevel::Info, "leadership_transfer").add("done", transferred ? "yes" : "no");
    }
    impl.http.beginDrain();
    (void)co_await impl.callConnections.waitForChildren(deadline);
    co_await impl.orderTasks.stop();
    co_await impl.entryConnections.stop();
    co_await impl.callConnections.stop();
    co_await impl.metricsEndpoint.stop();
    co_await impl.root.stop();
}

} // namespace tamarackcove
