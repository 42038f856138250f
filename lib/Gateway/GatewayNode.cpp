#include "tamarackcove/Gateway/GatewayNode.h"

#include "tamarackcove/Fleet/PlannedStop.h"
#include "tamarackcove/Gateway/FleetLink.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Gateway/RequestRelay.h"
#include "tamarackcove/Gateway/ServerConnections.h"
#include "tamarackcove/Gateway/ServiceAdmission.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Http/ClientMemory.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Http/MemoryBudget.h"
#include "tamarackcove/Http/MetricsEndpoint.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds HousekeepingInterval{500};
/// Added to the idle timeout of the configuration before a connection of a caller is closed: callers may keep a
/// connection idle for most of that timeout and then send a request.
static constexpr milliseconds IdleMargin{1000};
/// Part of the memory of this process for answers of servers that have not arrived in full.
static constexpr std::size_t AnswerDivisor = 6;

static std::size_t maxAnswerBytes(const GatewaySettings &settings)
{
    return settings.memoryBytes ? std::min(*settings.memoryBytes / AnswerDivisor, AnswerBudget::MaxTotalBytes)
                                : AnswerBudget::MaxTotalBytes;
}

struct GatewayNode::Impl
{
    Impl(const asio::any_io_executor &executor, GatewaySettings nodeSettings, CallerDialect nodeDialect)
        : settings(std::move(nodeSettings))
        , dialect(std::move(nodeDialect))
        , root(executor, "entry")
        , callerConnections(executor, "callers")
        , readyConnections(executor, "ready")
        , view(executor, settings, dialect)
        , link(root, settings, view)
        , watch(executor)
        , admission(view, metrics, settings.admissionControl)
        , relay({.view = view,
                 .connections = connections,
                 .watch = watch,
                 .admission = admission,
                 .metrics = metrics,
                 .dialect = dialect,
                 .leaderConnected = [this] { return link.connectedToLeader(); },
                 .maxAnswerBytes = maxAnswerBytes(settings)})
        , clientMemory(
              std::make_shared<MemoryBudget>(MemoryBudget::limitsFor(settings.memoryBytes, settings.maxDescriptors)))
        , callers(
              callerConnections, {},
              [this](const HttpRequest &request, HttpResponder &responder) { return relay.serve(request, responder); },
              clientMemory)
        , ready(
              readyConnections, ProbeLimits,
              [this](const HttpRequest &request, HttpResponder &responder) { return answerReady(request, responder); },
              std::make_shared<MemoryBudget>(MemoryBudget::limitsForProbes()))
        , metricsEndpoint(executor, metrics, [this](Metrics &gauges) { setGauges(gauges); })
    {
        view.servers().hasIdleConnection = [this](const ServerIdentity &server, TimePoint now) {
            return connections.hasIdle(server, now);
        };
        view.onNewDemand = [this] {
            link.reportSoon();
        };
        view.admission().onLeaseRequest = [this] {
            link.reportSoon();
        };
        view.onLoads = [this](TimePoint now) {
            admission.recordLoads(now);
        };
        view.crashSuspects().onNews = [this] {
            link.reportCrashesSoon();
        };
    }

    asio::awaitable<void> answerReady(const HttpRequest &request, HttpResponder &responder);
    void setGauges(Metrics &gauges);
    asio::awaitable<void> runHousekeeping();

    GatewaySettings settings;
    CallerDialect dialect;
    Supervisor root;
    Supervisor callerConnections;
    Supervisor readyConnections;
    Metrics metrics;
    FleetView view;
    FleetLink link;
    ServerConnections connections;
    CallerWatch watch;
    ServiceAdmission admission;
    RequestRelay relay;
    std::shared_ptr<MemoryBudget> clientMemory;
    HttpServer callers;
    HttpServer ready;
    MetricsEndpoint metricsEndpoint;
    /// Version of the configuration from which the present caller limits were taken.
    std::uint64_t appliedLimitsVersion = 0;
    bool stopping = false;
    /// The last answer to the readiness probe. A change of the answer is logged.
    bool wasReady = false;
};

asio::awaitable<void> GatewayNode::Impl::answerReady(const HttpRequest &request, HttpResponder &responder)
{
    HttpResponse response;
    if (request.path() == dialect.readyPath) {
        // An isolated entry reports not ready, so that the balancer sends callers to entries in another zone.
        const bool isReady = !stopping && view.routes() && !link.isolated(Clock::now());
        if (std::exchange(wasReady, isReady) != isReady) {
            LogLine(LogLevel::Info, "readiness").add("ready", isReady ? "yes" : "no");
        }
        callers.setCloseAfterResponse(!isReady);
        response.status = isReady ? 200 : 503;
    } else {
        response.status = 404;
    }
    (void)co_await responder.send(std::move(response));
}

void GatewayNode::Impl::setGauges(Metrics &gauges)
{
    const auto now = Clock::now();
    const auto routes = view.routes();
    gauges.gauge("servers", static_cast<double>(view.servers().size()));
    gauges.gauge("requests_in_progress", static_cast<double>(watch.size()));
    gauges.gauge("requests_awaiting_adapter", static_cast<double>(view.waitingRequests()));
    gauges.gauge("control_connected", link.connectedToLeader() ? 1 : 0);
    gauges.gauge("control_update_age_seconds", std::chrono::duration<double>(view.updateAge(now)).count());
    gauges.gauge("configuration_version", routes ? static_cast<double>(routes->configuration().version) : 0.0);
    gauges.gauge("server_connections_opened", static_cast<double>(connections.openedCount()));
    auto &allowances = view.admission().allowances();
    for (const auto &usage : allowances.usage(now)) {
        const auto gauge = [&gauges, &name = usage.workspace.value()](std::string_view metric, double value) {
            gauges.gauge(Metrics::labelled(metric, {{"workspace", name}}), value);
        };
        gauge("workspace_share_units_per_second", usage.share.rate);
        gauge("workspace_standalone_units_per_second", usage.share.standaloneRate);
        gauge("workspace_share_units", usage.level);
        gauge("workspace_admitted_ratio", usage.share.admittedPart);
        gauge("workspace_share_age_seconds", std::chrono::duration<double>(now - allowances.renewedAt()).count());
    }
    setClientMemoryGauges(gauges, *clientMemory);
    for (const auto &[service, left] : view.retriesLeft(now)) {
        gauges.gauge(Metrics::labelled("retries_left", {{"service", service.value()}}), left);
    }
}

asio::awaitable<void> GatewayNode::Impl::runHousekeeping()
{
    Timer timer(root.executor());
    for (;;) {
        timer.expires_after(HousekeepingInterval);
        co_await timer.async_wait(asio::use_awaitable);
        connections.closeIdle(Clock::now());
        const auto routes = view.routes();
        if (!routes || routes->configuration().version == appliedLimitsVersion) {
            continue;
        }
        appliedLimitsVersion = routes->configuration().version;
        const auto &caller = routes->configuration().limits;
        HttpLimits limits;
        limits.maxHeaderBytes = caller.maxHeaderBytes;
        limits.maxBodyBytes = caller.maxBodyBytes;
        limits.headerTimeout = caller.headerTimeout;
        limits.idleTimeout = caller.idleTimeout + IdleMargin;
        callers.setLimits(limits);
    }
}

GatewayNode::GatewayNode(asio::any_io_executor executor, GatewaySettings settings, CallerDialect dialect)
    : m_impl(std::make_unique<Impl>(executor, std::move(settings), std::move(dialect)))
{
}

GatewayNode::~GatewayNode() = default;

Result<void, std::string> GatewayNode::open()
{
    auto &impl = *m_impl;
    if (const auto listening = impl.callers.listen(impl.settings.listen); listening.has_error()) {
        return "key [listen]: " + listening.error().detail;
    }
    if (const auto listening = impl.ready.listen(impl.settings.readyListen); listening.has_error()) {
        return "key [ready_listen]: " + listening.error().detail;
    }
    if (const auto listening = impl.metricsEndpoint.listen(impl.settings.metricsListen); listening.has_error()) {
        return "key [metrics_listen]: " + listening.error().detail;
    }
    LogLine(LogLevel::Info, "listening")
        .add("listen", impl.settings.listen.toString())
        .add("ready", impl.settings.readyListen.toString());
    return ok();
}

void GatewayNode::start()
{
    auto &impl = *m_impl;
    impl.root.start("caller-watch", [&impl] { return impl.watch.run(); });
    impl.link.start();
    impl.root.start("housekeeping", [&impl] { return impl.runHousekeeping(); });
    impl.root.start("ready", [&impl] { return impl.ready.run(); });
    impl.metricsEndpoint.start(impl.root);
    impl.root.start("callers", [&impl] { return impl.callers.run(); });
    LogLine(LogLevel::Info, "started").add("name", impl.settings.name).add("zone", impl.settings.zone.value());
}

void GatewayNode::setSeeds(std::vector<std::string> seeds)
{
    m_impl->settings.seeds = std::move(seeds);
    m_impl->link.start();
}

std::uint16_t GatewayNode::callerPort() const
{
    return m_impl->callers.port();
}

std::uint16_t GatewayNode::readyPort() const
{
    return m_impl->ready.port();
}

std::uint16_t GatewayNode::metricsPort() const
{
    return m_impl->metricsEndpoint.port();
}

asio::awaitable<void> GatewayNode::shutDown()
{
    auto &impl = *m_impl;
    const auto startTime = Clock::now();
    const PlannedStop stop(startTime, impl.settings.gracePeriod);
    impl.stopping = true;
    impl.callers.setCloseAfterResponse(true);
    impl.relay.beginStop(stop);
    Timer timer(impl.root.executor(), stop.closesAt());
    co_await timer.async_wait(asio::use_awaitable);
    impl.callers.beginDrain();
    bool finished = co_await impl.callerConnections.waitForChildren(stop.answersDueAt());
    if (!finished) {
        LogLine(LogLevel::Info, "requests_ended").add("count", static_cast<std::uint64_t>(impl.watch.size()));
        impl.relay.endRequests();
        finished = co_await impl.callerConnections.waitForChildren(stop.exitsAt());
    }
    LogLine(LogLevel::Info, "drained")
        .add("finished", finished ? "yes" : "no")
        .add("after_ms", duration_cast<milliseconds>(Clock::now() - startTime));
    co_await impl.callerConnections.stop();
    co_await impl.readyConnections.stop();
    co_await impl.metricsEndpoint.stop();
    co_await impl.root.stop();
}

} // namespace tamarackcove
