#include "tamarackcove/Control/ControlNode.h"

#include "tamarackcove/Control/ControlParts.h"
#include "tamarackcove/Control/Operators/OperatorApi.h"
#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Control/State/ReplicatedState.h"
#include "tamarackcove/Control/Watchers/EntryRegistry.h"
#include "tamarackcove/Control/Watchers/LeaderState.h"
#include "tamarackcove/Control/Watchers/WatcherServer.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Supervision/Supervisor.h"

namespace asio = boost::asio;

namespace tamarackcove {

static ReplicaSettings replicaSettings(const ControlSettings &settings)
{
    ReplicaSettings replica;
    replica.name = settings.name;
    for (const auto &peer : settings.peers) {
        replica.peers.push_back({.name = peer.name, .endpoint = peer.replicaEndpoint});
    }
    replica.dataFolder = settings.dataFolder;
    replica.listen = settings.replicaListen;
    replica.administration = settings.listen;
    replica.minElectionTimeout = settings.minElectionTimeout;
    replica.maxElectionTimeout = settings.maxElectionTimeout;
    // The leader lease must expire before a follower can start an election. One sixth of the shortest election timeout
    // is the margin for clocks that run at different rates.
    replica.leaderLease = settings.minElectionTimeout * 5 / 6;
    replica.heartbeatInterval = settings.minElectionTimeout / 3;
    return replica;
}

static StoreBudget initialBudget(const ControlSettings &settings)
{
    const StoreLimits limits;
    return {PermitTiming{},
            {.loadsPerSecond = limits.loadsPerSecond, .concurrentLoads = limits.concurrentLoads},
            settings.zones};
}

struct ControlNode::Impl
{
    Impl(const asio::any_io_executor &executor, ControlSettings nodeSettings, Hooks nodeHooks)
        : settings(std::move(nodeSettings))
        , hooks(std::move(nodeHooks))
        , root(executor, "control",
               {.onEscalate =
                    [this](std::string_view child) {
                        fatal("a task of the control process exceeded its restart limit", child);
                    }})
        , operatorConnections(executor, "operators")
        , entryConnections(executor, "watchers")
        , state(executor)
        , replica(root, replicaSettings(settings), state.hooks(),
                  {.onFatal = [this](const StorageError &error) { fatal("cannot use the data folder", error.detail); },
                   .onLeadershipChange =
                       [this](Leadership leadership) {
                           handleLeadershipChange(leadership);
                       }})
        , log(replica.client())
        , leaderState(initialBudget(settings))
        , operators(parts)
        , http(operatorConnections, {},
               [this](const HttpRequest &request, HttpResponder &responder) {
                   return operators.handle(request, responder);
               })
        , watchers(entryConnections, parts)
    {
    }

    void fatal(std::string_view reason, std::string_view detail) const
    {
        LogLine(LogLevel::Critical, "control_fatal").add("reason", reason).add("detail", detail);
        if (hooks.onFatal) {
            hooks.onFatal(reason, detail);
        }
    }

    void handleLeadershipChange(Leadership leadership)
    {
        const bool leads = leadership == Leadership::Held;
        LogLine(LogLevel::Info, "leadership").add("leads", leads ? "yes" : "no").add("term", log.status().term);
        // What the leader has collected in this term stays valid while its lease is only suspended.
        if (leadership == Leadership::None) {
            leaderState.leaveTerm();
        }
    }

    ControlSettings settings;
    Hooks hooks;
    Supervisor root;
    Supervisor operatorConnections;
    Supervisor entryConnections;
    Metrics metrics;
    ReplicatedState state;
    ReplicaTask replica;
    LogClient log;
    EntryRegistry entries;
    LeaderState leaderState;
    ControlParts parts{log, state, entries, leaderState, metrics};
    OperatorApi operators;
    HttpServer http;
    WatcherServer watchers;
};

ControlNode::ControlNode(asio::any_io_executor executor, ControlSettings settings, Hooks hooks)
    : m_impl(std::make_unique<Impl>(executor, std::move(settings), std::move(hooks)))
{
}

ControlNode::~ControlNode() = default;

Result<void, std::string> ControlNode::open()
{
    auto &impl = *m_impl;
    if (const auto listening = impl.http.listen(impl.settings.listen); listening.has_error()) {
        return "key [listen]: " + listening.error().detail;
    }
    if (const auto listening = impl.watchers.listen(impl.settings.entryListen); listening.has_error()) {
        return "key [peer_listen]: " + listening.error().detail;
    }
    impl.replica.setAdministrationEndpoint(administrationEndpoint());
    if (const auto opened = impl.replica.open(); opened.has_error()) {
        return "key [data_folder]: " + opened.error().detail;
    }
    LogLine(LogLevel::Info, "listening")
        .add("listen", administrationEndpoint().toString())
        .add("peer_listen", entryEndpoint().toString())
        .add("replica_port", static_cast<int>(impl.replica.port()));
    return ok();
}

void ControlNode::start()
{
    auto &impl = *m_impl;
    impl.replica.start();
    impl.root.start("watchers", [&impl] { return impl.watchers.run(); });
    impl.root.start("operators", [&impl] { return impl.http.run(); });
    LogLine(LogLevel::Info, "ready").add("name", impl.settings.name);
}

asio::awaitable<void> ControlNode::shutDown()
{
    constexpr milliseconds TransferTimeout = seconds(2);
    auto &impl = *m_impl;
    const auto deadline = Clock::now() + impl.settings.drainTimeout;
    if (impl.replica.leads() && !impl.settings.peers.empty()) {
        const bool transferred = co_await impl.replica.transferLeadership(TransferTimeout);
        LogLine(LogLevel::Info, "leadership_transfer").add("done", transferred ? "yes" : "no");
    }
    impl.http.beginDrain();
    impl.watchers.beginDrain();
    (void)co_await impl.operatorConnections.waitForChildren(deadline);
    (void)co_await impl.watchers.waitForCalls(deadline);
    // Watches are cancelled without an answer, because entries watch the other control hosts as well.
    co_await impl.entryConnections.stop();
    co_await impl.operatorConnections.stop();
    co_await impl.root.stop();
}

Endpoint ControlNode::administrationEndpoint() const
{
    return {m_impl->settings.listen.host, m_impl->http.port()};
}

Endpoint ControlNode::entryEndpoint() const
{
    return {m_impl->settings.entryListen.host, m_impl->watchers.port()};
}

} // namespace tamarackcove
