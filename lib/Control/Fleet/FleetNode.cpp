#include "tamarackcove/Control/Fleet/FleetNode.h"

#include "FleetNodeImpl.h"
#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Http/ClientMemory.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds TransferTimeout{1500};
/// Interval between checks for servers whose heartbeats have stopped.
static constexpr milliseconds ExpiryInterval{500};
/// Interval between checks how late the event loop runs, shortest time between two log lines about it, and the shortest
/// delay that is logged. The lease of the leader is 250 ms.
static constexpr milliseconds DelayCheckInterval{50};
static constexpr milliseconds DelayLogInterval{1000};
static constexpr milliseconds LoggedDelay{60};

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

FleetNode::Impl::Impl(const asio::any_io_executor &executor, FleetControlSettings nodeSettings, Hooks nodeHooks)
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
    , replica(
          root, replicaSettings(settings, replicaBoot), log.hooks(),
          {.onFatal = [this](const StorageError &error) { reportFatal("cannot use the data folder", error.detail); },
           .onLeadershipChange = [this](Leadership leadership) { handleLeadershipChange(leadership); },
           .files = hooks.files})
    , registry({.heartbeatTimeout = settings.heartbeatInterval * 9 / 2,
                .maxHeartbeatGap = settings.heartbeatInterval * 5 / 2})
    , planner({})
    , demands({})
    , planTimer(executor)
    , leaseTimer(executor)
    , crashes({.hasEnded =
                   [this](const ServerIdentity &server, const Endpoint &endpoint, TimePoint now) {
                       return registry.seemsEnded(server, endpoint, now);
                   }})
    , crashTimer(executor)
    , feed(log.state(), registry, planner)
    , dispatcher(orderTasks, planner, hooks.dialect, metrics,
                 {.mayGiveOrders = [this] { return replica.leads(); },
                  .onChange = [this] { publishHoldings(); },
                  .onLeaving =
                      [this](const ServerIdentity &server) {
                          noteLeaving(server, settings.name);
                      }})
    , control(replica.client(), log.state(), registry,
              {.address = settings.listen,
               .readConfiguration = hooks.readConfiguration,
               .onServersChanged = [this] { publishServers(); },
               .onHeartbeat =
                   [this](const ServerHeartbeat &heartbeat) {
                       metrics.count("heartbeats_total");
                       crashes.recordAlive(heartbeat.identity, Clock::now());
                       updatePlanner(heartbeat);
                   }})
    , clientMemory(
          std::make_shared<MemoryBudget>(MemoryBudget::limitsFor(settings.memoryBytes, settings.maxDescriptors)))
    , http(callConnections, limits(), hooks.frontEnd(control), clientMemory)
    , links(entryConnections, feed, demands,
            {.leads = [this] { return leading; },
             .term = [this] { return leadershipTerm; },
             .hosts = [this] { return hosts(); },
             .serversAnnounced = [this] { return Clock::now() > leadershipStartedAt + settings.heartbeatInterval * 3; },
             .wantsHistory = [this] { return dispatcher.active(); },
             .allowanceFrame = [this](const EntryId &entry) { return allowanceFrame(entry); },
             .onReport = [this](const FleetReportMessage &report) { applyReport(report); },
             .onEntryDisconnected =
                 [this](const EntryId &entry) {
                     planner.removeEntry(entry);
                     demands.removeEntry(entry);
                     allowances.noteDisconnected(entry);
                 }})
    , metricsEndpoint(executor, metrics, [this](Metrics &gauges) { setGauges(gauges); })
{
}

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
    gauge("lease_suspensions", suspensionCount);
    gauge("updates_encoded", feed.encodedFrames());
    gauge("adapters_awaited", demands.size());
    gauge("entry_reports", reportCount);
    gauge("crash_evidence", crashEvidenceCount);
    gauge("crash_suspects_visited", crashes.visits());
    const auto &quarantined = log.state().quarantinedSuspects();
    const auto requests
        = std::count_if(quarantined.begin(), quarantined.end(), [](const auto &item) { return isRequest(item.first); });
    gauge("prompt_parts_quarantined", quarantined.size() - static_cast<std::size_t>(requests));
    gauge("crashing_requests_quarantined", requests);
    gauge("crash_suspects_on_probation", log.state().suspectsOnProbation().size());
    const auto totals = planner.totals(Clock::now());
    gauge("adapters_held", totals.held);
    gauge("adapters_loading", totals.loading);
    gauge("adapters_wanted", totals.wanted);
    gauge("store_loads", totals.fromStore);
    gauge("store_load_window", planner.storeLoadWindow().window());
    gauge("store_load_time_ms", planner.storeLoadTime().count());
    if (allowances.active()) {
        setAllowanceGauges(gauges);
    }
    setClientMemoryGauges(gauges, *clientMemory);
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
    setAllowances();
}

void FleetNode::Impl::handleStateChange(const FleetCommand *command)
{
    const auto &state = log.state();
    if (command != nullptr
        && (std::holds_alternative<TakeOrderDuty>(*command) || std::holds_alternative<NoteServer>(*command))) {
        // Neither entries nor the planner depend on these; a new leader reads them from the state.
        return;
    }
    if (command != nullptr
        && (std::holds_alternative<QuarantineSuspect>(*command) || std::holds_alternative<ReleaseSuspect>(*command))) {
        readVerdicts();
        publishSuspects();
        evaluateCrashesSoon();
        return;
    }
    if (const auto *departure = command == nullptr ? nullptr : std::get_if<NoteDeparture>(command)) {
        applyDepartures(&departure->server.id);
        if (const auto *server = registry.find(departure->server.id); leading && server != nullptr) {
            updatePlanner(server->lastHeartbeat);
        }
        publishServers();
        return;
    }
    readConfigurationInForce();
    applyDepartures(nullptr);
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
    readVerdicts();
    publishSuspects();
}

void FleetNode::Impl::applyDepartures(const TargetId *only)
{
    for (const auto &[server, departure] : log.state().departures()) {
        if (only != nullptr && server.id != *only) {
            continue;
        }
        if (departure.anyStart) {
            registry.applyDepartureOfAnyStart(server.id, Clock::now());
            continue;
        }
        registry.applyDeparture(server, departure.gone);
        if (leading && only != nullptr) {
            feed.addDeparture(server);
            links.scheduleStateUpdate();
        }
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

asio::awaitable<void> FleetNode::Impl::expireServers()
{
    Timer timer(root.executor());
    for (;;) {
        timer.expires_after(ExpiryInterval);
        co_await timer.async_wait(asio::use_awaitable);
        registry.expire(Clock::now());
        publishServers();
        if (leading && feed.setSilentServers(registry.silentServers(Clock::now()))) {
            links.scheduleStateUpdate();
        }
        releaseSuspects();
    }
}

asio::awaitable<void> FleetNode::Impl::watchDelay()
{
    Timer timer(root.executor());
    auto loggedAt = Clock::now();
    std::uint64_t loggedReports = 0;
    std::uint64_t loggedEvidence = 0;
    std::uint64_t loggedVisits = 0;
    for (;;) {
        const auto dueAt = Clock::now() + DelayCheckInterval;
        timer.expires_at(dueAt);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = Clock::now();
        maxDelay = std::max(maxDelay, duration_cast<milliseconds>(now - dueAt));
        if (maxDelay < LoggedDelay || now < loggedAt + DelayLogInterval) {
            continue;
        }
        LogLine(LogLevel::Info, "event_loop_delayed")
            .add("max_delay_ms", maxDelay)
            .add("leads", leading ? "yes" : "no")
            .add("since_ms", duration_cast<milliseconds>(now - loggedAt))
            .add("reports", reportCount - loggedReports)
            .add("crash_evidence", crashEvidenceCount - loggedEvidence)
            .add("suspects_visited", crashes.visits() - loggedVisits);
        loggedAt = now;
        loggedReports = reportCount;
        loggedEvidence = crashEvidenceCount;
        loggedVisits = crashes.visits();
        maxDelay = {};
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
        return "key [internal_ports]: " + listening.error().detail;
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
    impl.root.start("decide-leases", [&impl] { return impl.decideLeases(); });
    impl.root.start("attribute-crashes", [&impl] { return impl.attributeCrashes(); });
    impl.root.start("watch-delay", [&impl] { return impl.watchDelay(); });
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
    if (impl.replica.leads() && impl.hosts().size() > 1) {
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
