#include "tamarackcove/Entry/Callers/RequestPath.h"

#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Entry/Callers/LoadWaitResponder.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Targets/TargetCall.h"
#include "tamarackcove/Entry/Targets/TargetConnections.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/PinTable.h"
#include "tamarackcove/Requests/RequestLifecycle.h"
#include "tamarackcove/Routing/Router.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds RetryAfter{1000};

/// The state of one request that is in progress.
struct RequestPath::Progress
{
    Progress(const RequestPath &path, const Call &request, const HttpRequest &outgoing, HttpResponder &callerResponder,
             CallerWatch::WatchedRequest &callerWatched)
        : call(request)
        , responder(callerResponder)
        , life(request.repeatable)
        , watched(callerWatched)
        , target(path.m_context, request, outgoing, responder, life, callerWatched)
        , dispatchDeadline(std::min(request.deadline, request.received + path.m_options.maxTargetWait))
    {
    }

    const Call &call;
    LoadWaitResponder responder;
    RequestLifecycle life;
    CallerWatch::WatchedRequest &watched;
    TargetCall target;
    TimePoint dispatchDeadline;
    /// Targets whose attempts failed; cleared when no other target can take the request.
    std::set<TargetId> failedTargets;
    int attempts = 0;
    /// Attempts that may have run or that were forwarded to another zone; limited by Options::maxCountedAttempts.
    int countedAttempts = 0;
    /// Whether the last routing skipped targets that could not be reached recently, or that run another request
    /// suspected of crashing targets.
    bool targetSkipped = false;
    bool hasWaitedForLoad = false;
    /// Whether the caller has a response or an error, or has gone.
    bool answered = false;
    Refusal lastReason{RefusalCode::NotRun, "no target can take the request now, retry later", RetryAfter};
};

namespace {

/// Pins the adapter on the target and counts the request in the router's load estimate of the target while in scope.
class DispatchGuard
{
public:
    DispatchGuard(PinTable &pins, Router &router, TargetId target, const AdapterRef *adapter)
        : m_pins(pins)
        , m_router(router)
        , m_target(std::move(target))
        , m_adapter(adapter)
    {
        m_router.noteDispatched(m_target, Clock::now());
        if (m_adapter != nullptr) {
            m_pins.pin(m_target, *m_adapter);
        }
    }
    ~DispatchGuard()
    {
        m_router.noteFinished(m_target, Clock::now());
        if (m_adapter != nullptr) {
            m_pins.unpin(m_target, *m_adapter);
        }
    }
    DispatchGuard(const DispatchGuard &) = delete;
    DispatchGuard &operator=(const DispatchGuard &) = delete;

private:
    PinTable &m_pins;
    Router &m_router;
    TargetId m_target;
    const AdapterRef *m_adapter;
};

} // namespace

RequestPath::RequestPath(asio::any_io_executor executor, Parts parts, DispatchContext::Rendering rendering,
                         DispatchContext::Options dispatch, Options options)
    : m_executor(executor)
    , m_parts(std::move(parts))
    , m_options(options)
    , m_crashes(options.crashes)
    , m_retries(options.retries)
    , m_callerWatch(executor)
    , m_admissionGate(executor, options.admission)
    , m_loadWait(executor, m_parts.zone, options.loadWait)
    , m_context{.connections = m_parts.connections,
                .crashes = m_crashes,
                .unreachable = m_unreachable,
                .metrics = m_parts.metrics,
                .control = m_parts.control,
                .zone = m_parts.zone,
                .rendering = std::move(rendering),
                .options = dispatch}
    , m_random(options.seed)
{
}

void RequestPath::start(Supervisor &supervisor)
{
    supervisor.start("caller-watch", [this] { return m_callerWatch.run(); });
    supervisor.start("load-wait", [this] { return m_loadWait.run(); });
}

std::optional<Refusal> RequestPath::refusalBeforeAdmission(const Call &call) const
{
    if (m_draining && !call.forwarded) {
        return Refusal{RefusalCode::Draining, "this entry is shutting down, retry at another one", RetryAfter};
    }
    if (m_parts.configuration().quarantined.contains(call.fingerprint)) {
        return Refusal{RefusalCode::Quarantined, "this request crashed engines before and is not run again", {}};
    }
    if (m_crashes.isBlamed(call.fingerprint, Clock::now())) {
        return Refusal{RefusalCode::NotRun,
                       "this request crashed engines and the decision to quarantine it is pending, retry later",
                       seconds(10)};
    }
    return std::nullopt;
}

asio::awaitable<void> RequestPath::serve(Call call, HttpRequest outgoing, HttpResponder &responder)
{
    const auto started = Clock::now();
    CallerWatch::WatchedRequest watched(m_callerWatch, responder);
    m_retries.noteRequest();
    Progress progress(*this, call, outgoing, responder, watched);
    auto refusal = refusalBeforeAdmission(call);
    if (!refusal) {
        auto slot = co_await m_admissionGate.acquireSlot(call, watched);
        if (slot.has_error()) {
            refusal = slot.error();
        } else {
            progress.life.admit();
            refusal = co_await routeAndDispatch(progress);
        }
    }
    if (refusal && !watched.isCallerGone() && !responder.started()) {
        progress.life.refuse();
        // A request that may have run is never refused as not run, even if its last attempt did not run.
        if (progress.life.phase() == RequestLifecycle::Phase::OutcomeUnknown && guaranteesNotRun(refusal->code)) {
            refusal->code = RefusalCode::OutcomeUnknown;
            refusal->message = "the request may have run and could not be repeated: " + refusal->message;
            refusal->retryAfter = {};
        }
        m_parts.metrics.count("requests_refused_total{code=\"" + std::string(toString(refusal->code)) + "\"}");
        (void)co_await progress.responder.send(m_context.rendering.response(*refusal));
    }
    if (progress.responder.localWait() > Duration::zero()) {
        m_parts.metrics.count("load_stalls_total");
        m_parts.metrics.observe("load_stall_seconds", progress.responder.localWait());
    }
    m_parts.metrics.count("requests_total");
    m_parts.metrics.count("tokens_relayed_total", progress.target.tokens());
    m_parts.metrics.observe("request_seconds", Clock::now() - started);
}

RouteChoice RequestPath::route(Progress &progress)
{
    const auto &call = progress.call;
    const auto &view = m_parts.zone.view();
    auto excluded = progress.failedTargets;
    m_unreachable.addTo(excluded, Clock::now());
    progress.targetSkipped = excluded.size() > progress.failedTargets.size();
    while (true) {
        RouteChoice choice;
        if (!call.adapter) {
            choice = m_parts.router.chooseService(call.service, excluded, view);
        } else {
            Router::Request request;
            request.adapter = *call.adapter;
            request.baseModel = call.baseModel;
            request.excluded = excluded;
            request.mayForward = !call.forwarded;
            request.hasWaitedForLoad = progress.hasWaitedForLoad;
            choice = m_parts.router.choose(request, view, m_parts.zone.reachableZones());
        }
        // A target runs at most one request that is suspected of crashing targets at a time, so that a crash identifies
        // the request that caused it.
        if (choice.kind != RouteKind::Target || m_crashes.mayDispatch(call.fingerprint, choice.target)) {
            return choice;
        }
        progress.targetSkipped = true;
        excluded.insert(choice.target);
    }
}

std::optional<Destination> RequestPath::destinationOf(const RouteChoice &choice)
{
    Destination destination;
    if (choice.kind == RouteKind::Forward) {
        const auto entries = m_parts.zone.entries(choice.zone);
        if (entries.empty()) {
            return std::nullopt;
        }
        destination.kind = DestinationKind::Entry;
        destination.endpoint = entries[std::uniform_int_distribution<std::size_t>(0, entries.size() - 1)(m_random)];
        return destination;
    }
    const auto *target = m_parts.zone.view().find(choice.target);
    if (target == nullptr) {
        return std::nullopt;
    }
    destination.kind = target->kind == TargetKind::Service ? DestinationKind::Service : DestinationKind::Engine;
    destination.endpoint = target->endpoint;
    destination.target = target->id;
    destination.incarnation = target->incarnation;
    return destination;
}

asio::awaitable<void> RequestPath::pause(Progress &progress, milliseconds length)
{
    Timer timer(m_executor, length);
    progress.watched.timer = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    progress.watched.timer = nullptr;
}

asio::awaitable<std::optional<Refusal>> RequestPath::routeAndDispatch(Progress &progress)
{
    const auto &call = progress.call;
    if (call.adapter) {
        m_loadWait.noteArrival(*call.adapter);
    }
    while (!progress.watched.isCallerGone()) {
        const auto now = Clock::now();
        if (now >= progress.dispatchDeadline) {
            auto refusal = progress.lastReason;
            refusal.message = "no target took the request in time: " + refusal.message;
            co_return refusal;
        }
        const bool mayDispatch = m_parts.zone.mayDispatch(now);
        const auto choice = mayDispatch ? route(progress) : RouteChoice{};
        if (choice.kind == RouteKind::Target || choice.kind == RouteKind::Forward) {
            auto refusal = co_await runAttempt(progress, choice);
            if (refusal || !progress.life.mayDispatch() || progress.answered) {
                co_return refusal;
            }
            continue;
        }
        const bool holderSkipped = progress.targetSkipped || !progress.failedTargets.empty();
        if (choice.kind == RouteKind::WaitForLoad && !holderSkipped) {
            progress.life.waitForLoad();
            const auto outcome = co_await m_loadWait.wait(call, progress.dispatchDeadline, progress.watched);
            progress.responder.addWait(Clock::now() - now);
            progress.life.endLoadWait();
            progress.hasWaitedForLoad = true;
            if (outcome == LoadWait::Outcome::Refused) {
                co_return Refusal{RefusalCode::Overloaded, "too many requests wait for adapters, retry later",
                                  RetryAfter};
            }
            if (outcome == LoadWait::Outcome::TimedOut) {
                co_return Refusal{RefusalCode::NotRun, "the adapter was not loaded in time, retry later", RetryAfter};
            }
            continue;
        }
        // Either no target can take the request now, or every target that could was skipped or has failed. Failed
        // targets may be chosen again, and the coordinator is told of the demand so that it can load the adapter
        // elsewhere.
        if (choice.kind == RouteKind::WaitForLoad) {
            m_loadWait.requestLoad(call);
        }
        progress.failedTargets.clear();
        co_await pause(progress, m_options.rerouteDelay);
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<Refusal>> RequestPath::runAttempt(Progress &progress, const RouteChoice &choice)
{
    const auto destination = destinationOf(choice);
    if (!destination) {
        co_await pause(progress, m_options.rerouteDelay);
        co_return std::nullopt;
    }
    ++progress.attempts;
    TargetCall::End end = TargetCall::End::Answered;
    if (destination->kind == DestinationKind::Entry) {
        m_parts.metrics.count("forwards_total");
        end = co_await progress.target.run(*destination);
    } else {
        const auto &adapter = progress.call.adapter;
        const DispatchGuard guard(m_parts.pins, m_parts.router, destination->target, adapter ? &*adapter : nullptr);
        end = co_await progress.target.run(*destination);
    }
    if (end == TargetCall::End::Answered) {
        progress.answered = true;
        co_return std::nullopt;
    }
    progress.lastReason = progress.target.reason();
    if (!destination->target.empty()) {
        progress.failedTargets.insert(destination->target);
    }
    const bool counted = end == TargetCall::End::Lost || destination->kind == DestinationKind::Entry;
    progress.countedAttempts += counted ? 1 : 0;
    const bool exhausted
        = progress.countedAttempts >= m_options.maxCountedAttempts || progress.attempts >= m_options.maxTotalAttempts;
    const bool blamed = progress.target.targetCrashed() && m_crashes.isBlamed(progress.call.fingerprint, Clock::now());
    if (blamed || exhausted || !progress.life.mayDispatch()
        || !co_await pauseForRetry(progress, end == TargetCall::End::Lost)) {
        co_return progress.lastReason;
    }
    co_return std::nullopt;
}

asio::awaitable<bool> RequestPath::pauseForRetry(Progress &progress, bool mayHaveRun)
{
    // Attempts that did not run caused no work on a target, so they do not count against the retry budget.
    if (mayHaveRun && !m_retries.takeRetry()) {
        m_parts.metrics.count("retries_denied_total");
        co_return false;
    }
    m_parts.metrics.count("retries_total");
    co_await pause(progress, m_retries.backoff(progress.attempts));
    co_return true;
}

void RequestPath::beginDrain()
{
    m_draining = true;
}

void RequestPath::noteReportedCrash(const TargetId &target, Incarnation incarnation,
                                    const std::vector<std::uint64_t> &fingerprints)
{
    if (const auto blamed = m_crashes.noteReportedCrash(target, incarnation, fingerprints, Clock::now())) {
        LogLine(LogLevel::Warning, "reported_crash_blamed")
            .add("target", target.value())
            .add("incarnation", incarnation.value())
            .add("in_flight", static_cast<std::uint64_t>(fingerprints.size()))
            .add("blamed", *blamed);
    }
}

std::size_t RequestPath::inFlight() const
{
    return m_callerWatch.size();
}

void RequestPath::writeMetrics(Metrics &metrics) const
{
    metrics.gauge("requests_in_flight", static_cast<double>(m_callerWatch.size()));
    metrics.gauge("requests_queued", m_admissionGate.admission().queued());
    metrics.gauge("requests_waiting_for_load", static_cast<double>(m_loadWait.waitingRequests()));
    metrics.gauge("idle_target_connections", static_cast<double>(m_parts.connections.idleConnections()));
}

} // namespace tamarackcove
