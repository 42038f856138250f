#include "tamarackcove/Control/Fleet/FleetNode.h"

#include "tamarackcove/Control/Fleet/EntryLinks.h"
#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Control/Fleet/FleetLog.h"
#include "tamarackcove/Control/Fleet/OrderDuty.h"
#include "tamarackcove/Control/LogStatus.h"
#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Fleet/AdapterPlanner.h"
#include "tamarackcove/Http/MetricsEndpoint.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Storage/DataFolder.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds TransferTimeout{1500};
static constexpr milliseconds ExpiryInterval{500};
/// Pause before the duty is asked for again when the log did not take the command.
static constexpr milliseconds DutyRetry{50};
/// Entries repeat five times a second which servers they cannot reach.
static constexpr milliseconds SuspicionTime{500};
/// How often the planner is told what is in progress at each server.
static constexpr milliseconds LoadsInterval{100};
/// Beyond the lease of orders, for orders that are still on their way.
static constexpr milliseconds LeaseMargin{150};

static ReplicaSettings replicaSettings(const FleetControlSettings &settings, const std::string &boot)
{
    ReplicaSettings replica;
    replica.name = settings.host;
    const auto port = settings.replicaPort;
    replica.locate = [port](const std::string &name) {
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
                        fatal("a task of the control process gave up", child);
                    }})
        , callConnections(executor, "calls")
        , entryConnections(executor, "entries")
        , orderTasks(executor, "orders")
        , log([this] { stateChanged(); })
        , replicaBoot(randomIdentity())
        , replica(root, replicaSettings(settings, replicaBoot), log.hooks(),
                  {.onFatal = [this](const StorageError &error) { fatal("the data folder failed", error.detail); },
                   .onLeadership =
                       [this](bool leads) {
                           leadershipChanged(leads);
                       }})
        , registry({.silence = settings.heartbeatInterval * 9 / 2})
        , planner({})
        , duty(orderTasks, planner, hooks.dialect, metrics,
               {.holdsDuty = [this] { return replica.leads(); },
                .onChange =
                    [this] {
                        publishHoldings();
                    }})
        , control(replica.client(), log.state(), registry,
                  {.address = settings.listen,
                   .readConfiguration = hooks.readConfiguration,
                   .onServers = [this] { publishServers(); },
                   .onHeartbeat =
                       [this](const ServerHeartbeat &heartbeat) {
                           metrics.count("heartbeats_total");
                           plan(heartbeat);
                       }})
        , http(callConnections, limits(), hooks.frontEnd(control))
        , links(entryConnections, log.state(), registry, planner,
                {.leads = [this] { return replica.leads(); },
                 .term = [this] { return replica.client().status().term; },
                 .hosts = [this] { return hosts(); },
                 .settled = [this] { return Clock::now() > leadsSince + settings.heartbeatInterval * 3; },
                 .wantsHistory = [this] { return duty.active(); },
                 .onReport = [this](const FleetReportMessage &report) { take(report); },
                 .onEntryGone =
                     [this](const EntryId &entry) {
                         planner.entryGone(entry);
                     }})
        , metricsEndpoint(executor, metrics, [this](Metrics &figures) { setGauges(figures); })
    {
    }

    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.idleTimeout = seconds(30);
        limits.requestTimeout = seconds(10);
        return limits;
    }

    void fatal(std::string_view what, std::string_view detail) const
    {
        LogLine(LogLevel::Error, "control_fatal").add("reason", what).add("detail", detail);
        hooks.onFatal(what, detail);
    }

    /// The hosts of the group, by the names in it.
    [[nodiscard]] std::vector<std::string> hosts()
    {
        std::vector<std::string> names;
        for (const auto &member : replica.client().status().replicas) {
            names.push_back(member.name);
        }
        return names;
    }

    void setGauges(Metrics &figures);
    void stateChanged();
    void leadershipChanged(bool leads);
    void publishServers();
    void noteServer(const TargetId &id, const ServerRegistry::Server *server);
    void publishHoldings();
    void plan(const ServerHeartbeat &heartbeat);
    void take(const FleetReportMessage &report);
    asio::awaitable<void> takeDuty(std::uint64_t term, bool formerLeaderRuns);
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
    OrderDuty duty;
    FleetControl control;
    HttpServer http;
    EntryLinks links;
    MetricsEndpoint metricsEndpoint;
    std::shared_ptr<const DeploymentConfiguration> configuration;
    bool leading = false;
    TimePoint leadsSince;
    std::uint64_t leaderships = 0;
    std::uint64_t notes = 0;
    TimePoint loadsTakenAt;
};

void FleetNode::Impl::setGauges(Metrics &figures)
{
    const auto gauge = [&](std::string_view name, auto value) {
        figures.gauge(name, static_cast<double>(value));
    };
    const auto status = replica.client().status();
    const auto count = [&](auto property) {
        return std::count_if(status.replicas.begin(), status.replicas.end(), property);
    };
    gauge("leads", leading);
    gauge("order_duty", duty.active());
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
    gauge("store_load_window", planner.storeLoads().window());
}

void FleetNode::Impl::stateChanged()
{
    const auto &state = log.state();
    if (state.document() && (!configuration || configuration->version < state.configurationVersion())) {
        auto read = hooks.readConfiguration(*state.document());
        if (read.has_error()) {
            // It was readable when it was accepted.
            LogLine(LogLevel::Error, "configuration_unreadable").add("reason", read.error());
        } else {
            configuration = std::make_shared<const DeploymentConfiguration>(std::move(read).value());
            LogLine(LogLevel::Info, "configuration_in_force").add("version", configuration->version);
        }
    }
    for (const auto &[server, departure] : state.departures()) {
        registry.departed(server, departure.gone);
    }
    for (const auto &[key, version] : state.weightVersions()) {
        planner.versionNamed(key, version, Clock::now());
    }
    if (leading) {
        for (const auto &[id, server] : registry.servers()) {
            plan(server.said);
        }
        publishServers();
        duty.wake();
        links.stateChanged();
    }
}

void FleetNode::Impl::leadershipChanged(bool leads)
{
    leading = leads;
    ++leaderships;
    duty.end();
    planner.reset();
    registry.clear();
    links.leadershipChanged();
    if (!leads) {
        return;
    }
    leadsSince = Clock::now();
    for (const auto &[id, server] : log.state().servers()) {
        (void)registry.suggest(server, false, leadsSince);
    }
    stateChanged();
    // A host that has gone, or has started anew since, gives no orders of its former duty.
    const auto &former = log.state().duty();
    const auto status = replica.client().status();
    const bool formerRuns = former.holder != settings.host
        && std::any_of(status.replicas.begin(), status.replicas.end(), [&](const auto &member) {
                                return member.reachable && member.name == former.holder && member.boot == former.boot;
                            });
    root.startTemporary("duty-" + std::to_string(leaderships),
                        [this, formerRuns, term = leaderships] { return takeDuty(term, formerRuns); });
}

asio::awaitable<void> FleetNode::Impl::takeDuty(std::uint64_t term, bool formerLeaderRuns)
{
    const auto host = settings.host;
    const auto boot = replicaBoot;
    asio::steady_timer timer(root.executor());
    if (formerLeaderRuns) {
        // Its last order may be as young as this leadership.
        timer.expires_after(settings.orderLease + LeaseMargin);
        co_await timer.async_wait(asio::use_awaitable);
    }
    while (leading && leaderships == term) {
        auto command = encodeFleetCommand(TakeOrderDuty{.holder = host, .boot = boot});
        const auto taken = co_await replica.client().propose(std::move(command));
        if (taken.has_value() && leading && leaderships == term && log.state().duty().holder == host) {
            duty.begin(host, log.state().duty().fence);
            for (const auto &[id, server] : registry.servers()) {
                plan(server.said);
            }
            co_return;
        }
        timer.expires_after(DutyRetry);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void FleetNode::Impl::plan(const ServerHeartbeat &heartbeat)
{
    if (!configuration || !duty.active()) {
        return;
    }
    const auto *server = registry.find(heartbeat.identity.id);
    const auto *service = configuration->find(heartbeat.service);
    if (server == nullptr || service == nullptr || !service->engine) {
        return;
    }
    planner.serverSeen(heartbeat, server->draining, *service->engine, Clock::now());
    duty.serverSeen(heartbeat);
    duty.wake();
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
            planner.serverGone(id);
            duty.serverGone(id);
        }
        noteServer(id, server);
    }
    links.serversChanged(changes);
    publishHoldings();
}

void FleetNode::Impl::noteServer(const TargetId &id, const ServerRegistry::Server *server)
{
    const auto &noted = log.state().servers();
    const auto before = noted.find(id);
    std::optional<NoteServer> change;
    if (server == nullptr && before != noted.end()) {
        change = NoteServer{.server = before->second, .known = false};
    } else if (server != nullptr && !server->draining
               && (before == noted.end() || before->second.identity != server->said.identity
                   || before->second.models.size() != server->said.models.size())) {
        change = NoteServer{.server = server->said, .known = true};
    }
    if (!change || !leading) {
        return;
    }
    // Nobody waits for it: without it a later leader only learns of the server a heartbeat later.
    root.startTemporary("note-" + std::to_string(++notes),
                        [this, bytes = encodeFleetCommand(*change)]() -> asio::awaitable<void> {
                            (void)co_await replica.client().propose(bytes);
                        });
}

void FleetNode::Impl::publishHoldings()
{
    const auto changes = planner.takeChanges();
    if (!changes.empty()) {
        links.holdingsChanged(changes);
    }
    duty.wake();
}

void FleetNode::Impl::take(const FleetReportMessage &report)
{
    if (!leading) {
        return;
    }
    for (const auto &server : report.servers) {
        const auto endpoint = Endpoint::parse(server.endpoint);
        ServerHeartbeat said;
        said.identity = {.id = TargetId(server.id), .startedAt = Incarnation(server.startedAt)};
        said.service = ServiceName(server.service);
        said.zone = Zone(server.zone);
        said.slots = server.slots;
        for (const auto &model : server.models) {
            said.models.push_back({.name = BaseModel(model), .version = 0, .adapters = {}});
        }
        if (!endpoint) {
            continue;
        }
        said.endpoint = *endpoint;
        if (registry.suggest(said, server.draining, Clock::now())) {
            plan(said);
        }
    }
    if (!report.servers.empty()) {
        publishServers();
    }
    if (!duty.active()) {
        return;
    }
    const auto now = Clock::now();
    if (now >= loadsTakenAt + LoadsInterval) {
        loadsTakenAt = now;
        for (const auto &load : links.loads()) {
            planner.setLoad(TargetId(load.server), load.load);
        }
    }
    for (const auto &history : report.histories) {
        std::vector<AdapterKey> adapters;
        adapters.reserve(history.adapters.size());
        for (const auto &name : history.adapters) {
            adapters.push_back({BaseModel(history.model), name});
        }
        planner.recall({.id = TargetId(history.server), .startedAt = Incarnation(history.startedAt)}, adapters);
    }
    for (const auto &use : report.uses) {
        const AdapterKey adapter{BaseModel(use.model), use.adapter};
        if (use.missing) {
            planner.missing(TargetId(use.server), adapter, now);
        } else if (use.overdueMs > 0) {
            planner.overdue(TargetId(use.server), adapter, milliseconds(use.overdueMs), now);
        } else {
            planner.used(TargetId(use.server), adapter, EntryId(report.entry), use.requests, use.running, now);
        }
    }
    for (const auto &server : report.unreachable) {
        planner.suspect(TargetId(server), now + SuspicionTime);
    }
    for (const auto &demand : report.demands) {
        const AdapterKey adapter{BaseModel(demand.model), demand.adapter};
        (void)planner.demand(adapter, demand.version, Zone(report.zone), links.waiting(adapter), now, demand.failed);
    }
    publishHoldings();
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
    impl.metricsEndpoint.start(impl.root);
    impl.root.start("calls", [&impl] { return impl.http.run(); });
    impl.root.start("expiry", [&impl] { return impl.expireServers(); });
    LogLine(LogLevel::Info, "ready").add("name", impl.settings.name);
}

std::uint16_t FleetNode::callPort() const
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
    impl.duty.end();
    if (impl.replica.leads()) {
        const bool transferred = co_await impl.replica.transferLeadership(TransferTimeout);
        LogLine(LogLevel::Info, "leadership_transfer").add("done", transferred ? "yes" : "no");
    }
    impl.http.beginDrain();
    (void)co_await impl.callConnections.drained(deadline);
    co_await impl.orderTasks.stop();
    co_await impl.entryConnections.stop();
    co_await impl.callConnections.stop();
    co_await impl.metricsEndpoint.stop();
    co_await impl.root.stop();
}

} // namespace tamarackcove
