#include "tamarackcove/Entry/EntryProcess.h"

#include "tamarackcove/Entry/Admin/AdminApi.h"
#include "tamarackcove/Entry/Callers/CallerFrontEnd.h"
#include "tamarackcove/Entry/Callers/ErrorBody.h"
#include "tamarackcove/Entry/Control/ControlLink.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Policy.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Entry/ZoneMember.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Observe/Tracer.h"
#include "tamarackcove/Requests/PinTable.h"
#include "tamarackcove/Routing/Router.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <optional>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds ConnectionSweepInterval{5000};
static constexpr milliseconds ReadyCheckInterval{20};

struct EntryProcess::Impl
{
    explicit Impl(EntrySettings entrySettings);

    void useStaticConfiguration();
    void useZoneAndControl();
    [[nodiscard]] const ServingConfiguration &inForce() const;
    [[nodiscard]] Policy policy(const PolicyWeights &weights);
    void startChildren();
    asio::awaitable<void> expireConnections();
    asio::awaitable<void> logWhenReady();
    asio::awaitable<void> shutDownOnSignal();
    [[nodiscard]] bool configurationInForce() const;
    [[nodiscard]] std::string notReadyReason() const;
    [[nodiscard]] HttpResponse announce(const HttpRequest &request);
    void collect(Metrics &figures) const;

    EntrySettings settings;
    asio::io_context io{1};
    Metrics metrics;
    Tracer tracer;
    PinTable pins;
    ServingConfiguration staticConfiguration;
    ZoneView staticView;
    ZoneAccess zone;
    ControlCalls control;
    Router router;
    TargetConnections connections;
    Supervisor root;
    /// The tasks of caller connections; a shutdown drains them before it stops the other tasks.
    Supervisor callerConnections;
    Supervisor adminConnections;
    std::optional<ControlLink> controlLink;
    std::optional<ZoneMember> zoneMember;
    RequestPath path;
    CallerFrontEnd frontEnd;
    AdminApi admin;
    HttpServer callerServer;
    HttpServer adminServer;
    asio::signal_set signals;
    bool draining = false;
};

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
    , router(policy(staticConfiguration.weights).routing)
    , connections(settings.connections)
    , root(io.get_executor(), "entry")
    , callerConnections(io.get_executor(), "callers")
    , adminConnections(io.get_executor(), "admin")
    , path(io.get_executor(),
           RequestPath::Parts{.zone = zone,
                              .control = control,
                              .router = router,
                              .pins = pins,
                              .connections = connections,
                              .metrics = metrics,
                              .configuration = [this]() -> const ServingConfiguration & {
                                  return inForce();
                              }},
           DispatchContext::Rendering{.response = errorResponse, .event = errorEvent}, settings.dispatch,
           pathOptions(settings))
    , frontEnd(settings.name, path, tracer,
               CallerFrontEnd::Hooks{.configuration = [this]() -> const ServingConfiguration & { return inForce(); },
                                     .hasConfiguration = [this] { return configurationInForce(); },
                                     .routes = {{"POST /v1/targets/announce",
                                                 [this](const HttpRequest &request) {
                                                     return announce(request);
                                                 }}}})
    , admin(metrics,
            AdminApi::Hooks{.collect = [this](Metrics &figures) { collect(figures); },
                            .notReadyReason =
                                [this] {
                                    return notReadyReason();
                                }})
    , callerServer(
          callerConnections, settings.limits,
          [this](const HttpRequest &request, HttpResponder &responder) { return frontEnd.handle(request, responder); })
    , adminServer(
          adminConnections, HttpLimits{},
          [this](const HttpRequest &request, HttpResponder &responder) { return admin.handle(request, responder); })
    , signals(io, SIGTERM, SIGINT)
{
    if (settings.isStatic) {
        useStaticConfiguration();
    } else {
        useZoneAndControl();
    }
}

const ServingConfiguration &EntryProcess::Impl::inForce() const
{
    return controlLink ? controlLink->inForce() : staticConfiguration;
}

Policy EntryProcess::Impl::policy(const PolicyWeights &weights)
{
    Policy base;
    base.routing.zone = settings.zone;
    base.routing.seed = std::random_device()();
    // The weights may change with each configuration revision, so each choice reads them anew.
    base.routing.chooseTarget
        = [this](const Router::Request &request, const std::vector<const TargetView *> &candidates,
                 const Router::LoadOf &load, std::mt19937_64 &random) {
              return Router::betterOfTwo(packThreshold(inForce().weights))(request, candidates, load, random);
          };
    base.residency.packThreshold = packThreshold(weights);
    base.residency.baseModel = [this](const AdapterRef &adapter) -> std::optional<BaseModel> {
        const auto record = inForce().adapters.find(adapter);
        return record ? std::optional(record->baseModel) : std::nullopt;
    };
    return policyByName(settings.policy, base).value_or(base);
}

void EntryProcess::Impl::useZoneAndControl()
{
    ControlOptions controlOptions;
    controlOptions.self = settings.name;
    controlOptions.zone = settings.zone;
    controlOptions.hosts = settings.control;
    controlOptions.seed = std::random_device()();
    ControlLink::Hooks linkHooks;
    linkHooks.onRevisionHeld = [this](Revision held) {
        zoneMember->announceHeldRevision(held);
    };
    linkHooks.onInForceChanged = [](const ServingConfiguration &configuration) {
        LogLine(LogLevel::Info, "configuration_in_force")
            .add("revision", configuration.revision.value())
            .add("adapters", static_cast<std::uint64_t>(configuration.adapters.size()));
    };
    controlLink.emplace(root, std::move(controlOptions), std::move(linkHooks));

    ZoneOptions zoneOptions;
    zoneOptions.self = settings.name;
    zoneOptions.zone = settings.zone;
    zoneOptions.listen = settings.peerListen;
    zoneOptions.peers = settings.peers;
    zoneOptions.seed = std::random_device()();
    ZoneHooks hooks;
    hooks.control = controlLink->calls();
    hooks.makePlanner = [this] {
        return makeResidencyPlanner(policy(inForce().weights).residency);
    };
    hooks.onActivate = [this](Revision revision) {
        controlLink->activate(revision);
    };
    hooks.heldConfiguration = [this] {
        return controlLink->exportNewest();
    };
    hooks.onPeerConfiguration = [this](Revision revision, const std::string &bytes) {
        if (!controlLink->importFromPeer(bytes)) {
            LogLine(LogLevel::Warning, "peer_configuration_refused").add("revision", revision.value());
        }
    };
    hooks.onCrash
        = [this](const TargetId &target, Incarnation incarnation, const std::vector<std::uint64_t> &fingerprints) {
              path.noteReportedCrash(target, incarnation, fingerprints);
          };
    zoneMember.emplace(std::move(zoneOptions), std::move(hooks), pins);
    zone = zoneMember->access();
    control = controlLink->calls();
    // ZoneMember::reportCrash() informs the entries of the zone as well as the control group.
    control.reportCrash
        = [this](const TargetId &target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints) {
              zoneMember->reportCrash(target, incarnation, std::move(fingerprints));
          };
}

HttpResponse EntryProcess::Impl::announce(const HttpRequest &request)
{
    if (zoneMember) {
        return zoneMember->announce(request);
    }
    Refusal refusal;
    refusal.code = RefusalCode::InvalidRequest;
    refusal.message = "announcements are refused: the targets of this entry are configured in [static]";
    return errorResponse(refusal);
}

void EntryProcess::Impl::collect(Metrics &figures) const
{
    path.writeMetrics(figures);
    if (zoneMember) {
        zoneMember->writeMetrics(figures);
        figures.gauge("configuration_revision", static_cast<double>(inForce().revision.value()));
    }
}

void EntryProcess::Impl::useStaticConfiguration()
{
    for (const auto &[adapter, record] : settings.adapters) {
        staticConfiguration.adapters.put(adapter, record);
    }
    staticConfiguration.services.insert(settings.services.begin(), settings.services.end());
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
    zone.reportUnreachable = [](const TargetId &) {
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
    control.reportSuspectCleared = [](std::uint64_t) {
    };
    control.connected = [] {
        return true;
    };
}

// A restarted entry holds a revision for some time before the revision is in force. Until then the entry knows no
// adapter.
bool EntryProcess::Impl::configurationInForce() const
{
    return !controlLink || controlLink->inForce().revision > Revision();
}

std::string EntryProcess::Impl::notReadyReason() const
{
    if (draining) {
        return "shutting down";
    }
    if (!zoneMember) {
        return {};
    }
    if (!configurationInForce() || !zoneMember->configurationReady()) {
        return "no configuration received from the control group or the zone yet";
    }
    return zone.mayDispatch(Clock::now()) ? "" : "no valid view lease from the zone coordinator";
}

asio::awaitable<void> EntryProcess::Impl::logWhenReady()
{
    Timer timer(io);
    while (!notReadyReason().empty()) {
        timer.expires_after(ReadyCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    LogLine(LogLevel::Info, "ready").add("zone", settings.zone.value());
}

asio::awaitable<void> EntryProcess::Impl::expireConnections()
{
    Timer timer(io);
    while (true) {
        timer.expires_after(ConnectionSweepInterval);
        co_await timer.async_wait(asio::use_awaitable);
        connections.expire(Clock::now());
    }
}

void EntryProcess::Impl::startChildren()
{
    if (zoneMember) {
        controlLink->start();
        root.start("zone", [this] { return zoneMember->run(); });
    }
    path.start(root);
    root.start("target-connections", [this] { return expireConnections(); });
    root.start("admin", [this] { return adminServer.run(); });
    root.start("callers", [this] { return callerServer.run(); });
    root.start("ready", [this] { return logWhenReady(); });
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
    const bool finished = co_await callerConnections.waitForChildren(Clock::now() + settings.drainTimeout);
    LogLine(finished ? LogLevel::Info : LogLevel::Warning, "drained").add("complete", finished ? "yes" : "no");
    co_await callerConnections.stop();
    if (zoneMember) {
        co_await zoneMember->resignLease();
    }
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
    if (impl.zoneMember) {
        if (const auto listening = impl.zoneMember->listen(impl.io.get_executor()); listening.has_error()) {
            return "key [peer_listen]: " + listening.error();
        }
    }
    LogLine(LogLevel::Info, "listening")
        .add("port", impl.callerServer.port())
        .add("admin_port", impl.adminServer.port())
        .add("peer_port", impl.zoneMember ? impl.zoneMember->port() : 0);
    return ok();
}

int EntryProcess::run()
{
    auto &impl = *m_impl;
    impl.startChildren();
    asio::co_spawn(impl.io, impl.shutDownOnSignal(), asio::detached);
    impl.io.run();
    return 0;
}

} // namespace tamarackcove
