#include "tamarackcove/Entry/EntryProcess.h"

#include "tamarackcove/Entry/Admin/AdminApi.h"
#include "tamarackcove/Entry/Callers/CallerFrontEnd.h"
#include "tamarackcove/Entry/Callers/ErrorBody.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Observe/Tracer.h"
#include "tamarackcove/Requests/PinTable.h"
#include "tamarackcove/Routing/Router.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds ConnectionSweepInterval{5000};

struct EntryProcess::Impl
{
    explicit Impl(EntrySettings entrySettings);

    void useStaticConfiguration();
    void startChildren();
    asio::awaitable<void> runCallers();
    asio::awaitable<void> expireConnections();
    asio::awaitable<void> shutDownOnSignal();
    [[nodiscard]] std::string notReady() const;

    EntrySettings settings;
    asio::io_context io{1};
    Metrics metrics;
    Tracer tracer;
    PinTable pins;
    ServingConfiguration configuration;
    ZoneView staticView;
    ZoneAccess zone;
    ControlCalls control;
    Router router;
    TargetConnections connections;
    Supervisor root;
    /// The tasks of caller connections; drained before the rest stops.
    Supervisor callers;
    Supervisor adminConnections;
    RequestPath path;
    CallerFrontEnd frontEnd;
    AdminApi admin;
    HttpServer callerServer;
    HttpServer adminServer;
    asio::signal_set signals;
    bool draining = false;
};

static Router::Options routerOptions(const EntrySettings &settings)
{
    Router::Options options;
    options.zone = settings.zone;
    options.seed = std::random_device()();
    return options;
}

static RequestPath::Options pathOptions(const EntrySettings &settings)
{
    auto options = settings.path;
    options.seed = std::random_device()();
    options.retries.seed = std::random_device()();
    return options;
}

EntryProcess::Impl::Impl(EntrySettings entrySettings)
    : settings(std::move(entrySettings))
    , tracer("tamarackcove-entry " + settings.name.value(), settings.traceFile)
    , router(routerOptions(settings))
    , connections(settings.connections)
    , root(io.get_executor(), "entry")
    , callers(io.get_executor(), "callers")
    , adminConnections(io.get_executor(), "admin")
    , path(io.get_executor(),
           RequestPath::Parts{.zone = zone,
                              .control = control,
                              .router = router,
                              .pins = pins,
                              .connections = connections,
                              .metrics = metrics,
                              .configuration = [this]() -> const ServingConfiguration & {
                                  return configuration;
                              }},
           DispatchContext::Rendering{.response = errorResponse, .event = errorEvent}, settings.dispatch,
           pathOptions(settings))
    , frontEnd(settings.name, path, tracer,
               CallerFrontEnd::Hooks{
                   .configuration = [this]() -> const ServingConfiguration & { return configuration; }, .routes = {}})
    , admin(metrics,
            AdminApi::Hooks{.collect = [this](Metrics &figures) { path.writeMetrics(figures); },
                            .notReady =
                                [this] {
                                    return notReady();
                                }})
    , callerServer(
          callers, settings.limits,
          [this](const HttpRequest &request, HttpResponder &responder) { return frontEnd.handle(request, responder); })
    , adminServer(
          adminConnections, HttpLimits{},
          [this](const HttpRequest &request, HttpResponder &responder) { return admin.handle(request, responder); })
    , signals(io, SIGTERM, SIGINT)
{
    if (settings.isStatic) {
        useStaticConfiguration();
    }
}

void EntryProcess::Impl::useStaticConfiguration()
{
    for (const auto &[adapter, record] : settings.adapters) {
        configuration.adapters.put(adapter, record);
    }
    configuration.services.insert(settings.services.begin(), settings.services.end());
    for (const auto &target : settings.targets) {
        staticView.putTarget(target);
    }
    zone.view = [this]() -> const ZoneView & {
        return staticView;
    };
    zone.mayDispatch = [](TimePoint) {
        return true;
    };
    zone.demand = [](const LoadDemand &) {
    };
    zone.reachableZones = [this] {
        return std::vector<Zone>{settings.zone};
    };
    zone.entries = [](const Zone &) {
        return std::vector<Endpoint>();
    };
    zone.reportBroken = [](const TargetId &) {
    };
    control.reserveCall = [](std::string, std::uint64_t) -> asio::awaitable<Result<CallReservation, ControlError>> {
        co_return ControlError{ControlErrorCode::Unavailable, "no control group is configured"};
    };
    control.completeCall
        = [](std::string, int, std::string, std::string) -> asio::awaitable<Result<void, ControlError>> {
        co_return ok();
    };
    control.reportCrash = [](const TargetId &, Incarnation, const std::vector<std::uint64_t> &) {
    };
    control.reportCleared = [](std::uint64_t) {
    };
    control.connected = [] {
        return true;
    };
}

std::string EntryProcess::Impl::notReady() const
{
    return draining ? "shutting down" : "";
}

asio::awaitable<void> EntryProcess::Impl::expireConnections()
{
    asio::steady_timer timer(io);
    while (true) {
        timer.expires_after(ConnectionSweepInterval);
        co_await timer.async_wait(asio::use_awaitable);
        connections.expire(Clock::now());
    }
}

void EntryProcess::Impl::startChildren()
{
    path.start(root);
    root.start("target-connections", [this] { return expireConnections(); });
    root.start("admin", [this] { return adminServer.run(); });
    root.start("callers", [this] { return callerServer.run(); });
}

asio::awaitable<void> EntryProcess::Impl::shutDownOnSignal()
{
    const auto signal = co_await signals.async_wait(asio::use_awaitable);
    LogLine(LogLevel::Info, "draining")
        .add("signal", signal)
        .add("in_flight", static_cast<std::uint64_t>(path.inFlight()));
    draining = true;
    path.beginDrain();
    callerServer.beginDrain();
    const bool finished = co_await callers.drained(Clock::now() + settings.drainTimeout);
    LogLine(finished ? LogLevel::Info : LogLevel::Warning, "drained").add("complete", finished ? "yes" : "no");
    co_await callers.stop();
    co_await root.stop();
    co_await adminConnections.stop();
    io.stop();
}

EntryProcess::EntryProcess(EntrySettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

EntryProcess::~EntryProcess() = default;

Result<void, std::string> EntryProcess::listen()
{
    auto &impl = *m_impl;
    if (const auto listening = impl.callerServer.listen(impl.settings.listen); listening.has_error()) {
        return "key [listen]: " + listening.error().detail;
    }
    if (const auto listening = impl.adminServer.listen(impl.settings.adminListen); listening.has_error()) {
        return "key [admin_listen]: " + listening.error().detail;
    }
    LogLine(LogLevel::Info, "listening")
        .add("port", impl.callerServer.port())
        .add("admin_port", impl.adminServer.port());
    return ok();
}

int EntryProcess::run()
{
    auto &impl = *m_impl;
    impl.startChildren();
    asio::co_spawn(impl.io, impl.shutDownOnSignal(), asio::detached);
    LogLine(LogLevel::Info, "ready").add("zone", impl.settings.zone.value());
    impl.io.run();
    return 0;
}

} // namespace tamarackcove
