#include "tamarackcove/Control/ControlProcess.h"

#include "tamarackcove/Control/ControlParts.h"
#include "tamarackcove/Control/Operators/OperatorApi.h"
#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Control/State/ReplicatedState.h"
#include "tamarackcove/Control/Watchers/EntryRegistry.h"
#include "tamarackcove/Control/Watchers/LeaderDuties.h"
#include "tamarackcove/Control/Watchers/WatcherServer.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <optional>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr int ExitFailure = 1;

static ReplicaSettings replicaSettings(const ControlSettings &settings)
{
    ReplicaSettings replica;
    replica.name = settings.name;
    for (const auto &peer : settings.peers) {
        replica.peers.push_back({.name = peer.name, .endpoint = peer.replica});
    }
    replica.dataFolder = settings.dataFolder;
    replica.listen = settings.replicaListen;
    replica.administration = settings.listen;
    replica.minElectionTimeout = settings.minElectionTimeout;
    replica.maxElectionTimeout = settings.maxElectionTimeout;
    return replica;
}

static StoreBudget initialBudget(const ControlSettings &settings)
{
    const StoreLimits limits;
    return {PermitTiming{},
            {.loadsPerSecond = limits.loadsPerSecond, .concurrentLoads = limits.concurrentLoads},
            settings.zones};
}

/// The root of the control process: the replica of the log, the operators and the watching entries.
class ControlRoot
{
public:
    explicit ControlRoot(const ControlSettings &settings)
        : m_settings(settings)
        , m_signals(m_io, SIGTERM, SIGINT)
        , m_root(m_io.get_executor(), "control",
                 {.onEscalate =
                      [this](std::string_view child) {
                          fail("a task of the root gave up", child);
                      }})
        , m_operatorConnections(m_io.get_executor(), "operators")
        , m_entryConnections(m_io.get_executor(), "watchers")
        , m_state(m_io.get_executor())
        , m_replica(m_root, replicaSettings(settings), m_state.hooks(),
                    {.onFatal = [this](const StorageError &error) { fail("the data folder failed", error.detail); },
                     .onLeadership =
                         [this](bool leads) {
                             noteLeadership(leads);
                         }})
        , m_log(m_replica.client())
        , m_duties(initialBudget(settings))
        , m_operators(m_parts)
        , m_http(m_operatorConnections, {},
                 [this](const HttpRequest &request, HttpResponder &responder) {
                     return m_operators.handle(request, responder);
                 })
        , m_watchers(m_entryConnections, m_parts)
    {
    }

    int run();

private:
    bool open();
    void fail(std::string_view what, std::string_view detail);
    void noteLeadership(bool leads);
    asio::awaitable<void> waitForSignal();
    asio::awaitable<void> shutDown();

    const ControlSettings &m_settings;
    asio::io_context m_io{1};
    asio::signal_set m_signals;
    Supervisor m_root;
    Supervisor m_operatorConnections;
    Supervisor m_entryConnections;
    Metrics m_metrics;
    ReplicatedState m_state;
    ReplicaTask m_replica;
    LogClient m_log;
    EntryRegistry m_entries;
    LeaderDuties m_duties;
    ControlParts m_parts{m_log, m_state, m_entries, m_duties, m_metrics};
    OperatorApi m_operators;
    HttpServer m_http;
    WatcherServer m_watchers;
    int m_exitCode = 0;
};

void ControlRoot::fail(std::string_view what, std::string_view detail)
{
    LogLine(LogLevel::Error, "process_stops").add("reason", what).add("detail", detail);
    m_exitCode = ExitFailure;
    m_io.stop();
}

void ControlRoot::noteLeadership(bool leads)
{
    LogLine(LogLevel::Info, "leadership").add("leads", leads ? "yes" : "no").add("term", m_log.status().term);
    if (!leads) {
        m_duties.leaveTerm();
    }
}

bool ControlRoot::open()
{
    const auto http = m_http.listen(m_settings.listen);
    if (http.has_error()) {
        fail("the administration api cannot listen", http.error().detail);
        return false;
    }
    const auto framed = m_watchers.listen(m_settings.peerListen);
    if (framed.has_error()) {
        fail("the port for entries cannot listen", framed.error().detail);
        return false;
    }
    m_replica.advertise({m_settings.listen.host, m_http.port()});
    const auto opened = m_replica.open();
    if (opened.has_error()) {
        fail("the data folder cannot be used", opened.error().detail);
        return false;
    }
    LogLine(LogLevel::Info, "listening")
        .add("listen", Endpoint{m_settings.listen.host, m_http.port()}.toString())
        .add("peer_listen", Endpoint{m_settings.peerListen.host, m_watchers.port()}.toString())
        .add("replica_port", static_cast<int>(m_replica.port()));
    return true;
}

int ControlRoot::run()
{
    if (!open()) {
        return m_exitCode;
    }
    m_replica.start();
    m_root.start("watchers", [this] { return m_watchers.run(); }, {.restart = Restart::OnFailure});
    m_root.start("operators", [this] { return m_http.run(); }, {.restart = Restart::OnFailure});
    asio::co_spawn(m_io, waitForSignal(), [this](const std::exception_ptr &) { m_io.stop(); });
    LogLine(LogLevel::Info, "ready").add("name", m_settings.name);
    m_io.run();
    return m_exitCode;
}

asio::awaitable<void> ControlRoot::waitForSignal()
{
    const auto [error, signal] = co_await m_signals.async_wait(asio::as_tuple(asio::use_awaitable));
    LogLine(LogLevel::Info, "stopping").add("signal", signal);
    co_await shutDown();
    LogLine(LogLevel::Info, "stopped");
}

asio::awaitable<void> ControlRoot::shutDown()
{
    constexpr milliseconds TransferTimeout = seconds(2);
    const auto deadline = Clock::now() + m_settings.drainTimeout;
    if (m_replica.leads() && !m_settings.peers.empty()) {
        const bool transferred = co_await m_replica.transferLeadership(TransferTimeout);
        LogLine(LogLevel::Info, "leadership_transfer").add("done", transferred ? "yes" : "no");
    }
    m_http.beginDrain();
    m_watchers.beginDrain();
    (void)co_await m_operatorConnections.drained(deadline);
    // Watching entries are cut off at once: they watch the other control hosts as well.
    co_await m_entryConnections.stop();
    co_await m_operatorConnections.stop();
    co_await m_root.stop();
}

int runControlProcess(const ControlSettings &settings)
{
    ControlRoot root(settings);
    return root.run();
}

} // namespace tamarackcove
