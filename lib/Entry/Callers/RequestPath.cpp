#include "tamarackcove/Entry/Callers/RequestPath.h"

#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Entry/Callers/LoadWaitResponder.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Targets/TargetCall.h"
#include "tamarackcove/Entry/Targets/TargetConnections.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/PinTable.h"
#include "tamarackcove/Requests/RequestLife.h"
#include "tamarackcove/Routing/Router.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds RetryAfter{1000};

/// What one request has come to.
struct RequestPath::Progress
{
    Progress(const RequestPath &path, const Call &request, const HttpRequest &outgoing, HttpResponder &callerResponder,
             CallerWatch::Watched &callerWatched)
        : call(request)
        , responder(callerResponder)
        , life(request.repeatable)
        , watched(callerWatched)
        , target(path.m_context, request, outgoing, responder, life, callerWatched)
        , giveUpAt(std::min(request.deadline, request.received + path.m_options.maxWait))
    {
    }

    const Call &call;
    LoadWaitResponder responder;
    RequestLife life;
    CallerWatch::Watched &watched;
    TargetCall target;
    TimePoint giveUpAt;
    /// Targets that failed it; forgotten when no other one is left.
    std::set<TargetId> excluded;
    int attempts = 0;
    /// Attempts that may have run, or that another entry refused.
    int costly = 0;
    /// A target may have been passed over, because another suspect runs there or it could not be reached a moment ago.
    bool heldBack = false;
    bool hasWaited = false;
    /// The caller has a response, or has gone.
    bool answered = false;
    Refusal lastReason{RefusalCode::NotRun, "no target can take the request now, retry later", RetryAfter};
};

namespace {

/// Holds the adapter on the target and counts the request in the load estimate.
class DispatchHold
{
public:
    DispatchHold(PinTable &pins, Router &router, TargetId target, const AdapterRef *adapter)
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
    ~DispatchHold()
    {
        m_router.noteFinished(m_target, Clock::now());
        if (m_adapter != nullptr) {
            m_pins.unpin(m_target, *m_adapter);
        }
    }
    DispatchHold(const DispatchHold &) = delete;
    DispatchHold &operator=(const DispatchHold &) = delete;

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
    , m_watch(executor)
    , m_gate(executor, options.admission)
    , m_loads(executor, m_parts.zone, options.loads)
    , m_context{.connections = m_parts.connections,
                .crashes = m_crashes,
                .broken = m_broken,
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
    supervisor.start("caller-watch", [this] { return m_watch.run(); });
    supervisor.start("load-wait", [this] { return m_loads.run(); });
}

std::optional<Refusal> RequestPath::refuseEarly(const Call &call) const
{
    if (m_draining && !call.forwarded) {
        return Refusal{RefusalCode::Draining, "this entry is shutting down, retry at another one", RetryAfter};
    }
    if (m_parts.configuration().quarantined.contains(call.fingerprint)) {
        return Refusal{RefusalCode::Quarantined, "this request crashed engines before and is not run again", {}};
    }
    if (m_crashes.isBlamed(call.fingerprint, Clock::now())) {
        return Refusal{RefusalCode::NotRun, "this request crashed engines and is under examination, retry later",
                       seconds(10)};
    }
    return std::nullopt;
}

asio::awaitable<void> RequestPath::serve(Call call, HttpRequest outgoing, HttpResponder &responder)
{
    const auto started = Clock::now();
    CallerWatch::Watched watched(m_watch, responder);
    m_retries.noteRequest();
    Progress progress(*this, call, outgoing, responder, watched);
    auto refusal = refuseEarly(call);
    if (!refusal) {
        auto place = co_await m_gate.enter(call, watched);
        if (place.has_error()) {
            refusal = place.error();
        } else {
            progress.life.admit();
            refusal = co_await findAndRun(progress);
        }
    }
    if (refusal && !watched.gone() && !responder.started()) {
        progress.life.refuse();
        // Whatever the last obstacle was, a request that may have run is not refused as "not run".
        if (progress.life.phase() == RequestLife::Phase::OutcomeUnknown && promisesNotRun(refusal->code)) {
            refusal->code = RefusalCode::OutcomeUnknown;
            refusal->message = "the request may have run, and could not be repeated: " + refusal->message;
            refusal->retryAfter = {};
        }
        m_parts.metrics.count("requests_refused_total{code=\"" + std::string(toString(refusal->code)) + "\"}");
        (void)co_await progress.responder.send(m_context.rendering.response(*refusal));
    }
    if (progress.responder.waited() > Duration::zero()) {
        m_parts.metrics.count("load_stalls_total");
        m_parts.metrics.observe("load_stall_seconds", progress.responder.waited());
    }
    m_parts.metrics.count("requests_total");
    m_parts.metrics.count("tokens_relayed_total", progress.target.tokens());
    m_parts.metrics.observe("request_seconds", Clock::now() - started);
}

RouteChoice RequestPath::route(Progress &progress)
{
    const auto &call = progress.call;
    const auto &view = m_parts.zone.view();
    auto excluded = progress.excluded;
    m_broken.addTo(excluded, Clock::now());
    progress.heldBack = excluded.size() > progress.excluded.size();
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
            request.hasWaited = progress.hasWaited;
            choice = m_parts.router.choose(request, view, m_parts.zone.reachableZones());
        }
        // A suspect runs on a target without another suspect.
        if (choice.kind != RouteKind::Target || m_crashes.mayDispatch(call.fingerprint, choice.target)) {
            return choice;
        }
        progress.heldBack = true;
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
    asio::steady_timer timer(m_executor, length);
    progress.watched.timer = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    progress.watched.timer = nullptr;
}

asio::awaitable<std::optional<Refusal>> RequestPath::findAndRun(Progress &progress)
{
    const auto &call = progress.call;
    if (call.adapter) {
        m_loads.noteArrival(*call.adapter);
    }
    while (!progress.watched.gone()) {
        const auto now = Clock::now();
        if (now >= progress.giveUpAt) {
            auto refusal = progress.lastReason;
            refusal.message = "no target took the request in time: " + refusal.message;
            co_return refusal;
        }
        const bool mayDispatch = m_parts.zone.mayDispatch(now);
        const auto choice = mayDispatch ? route(progress) : RouteChoice{};
        if (choice.kind == RouteKind::Target || choice.kind == RouteKind::Forward) {
            auto refusal = co_await attempt(progress, choice);
            if (refusal || !progress.life.mayDispatch() || progress.answered) {
                co_return refusal;
            }
            continue;
        }
        const bool holdersPassedOver = progress.heldBack || !progress.excluded.empty();
        if (choice.kind == RouteKind::WaitForLoad && !holdersPassedOver) {
            progress.life.waitForLoad();
            const auto outcome = co_await m_loads.wait(call, progress.giveUpAt, progress.watched);
            progress.responder.addWait(Clock::now() - now);
            progress.life.loadEnded();
            progress.hasWaited = true;
            if (outcome == LoadWait::Outcome::Refused) {
                co_return Refusal{RefusalCode::Overloaded, "too many requests wait for adapters, retry later",
                                  RetryAfter};
            }
            if (outcome == LoadWait::Outcome::TimedOut) {
                co_return Refusal{RefusalCode::NotRun, "the adapter was not loaded in time, retry later", RetryAfter};
            }
            continue;
        }
        // Either no target may take it now, or those that may have failed it. These get another chance, while the
        // coordinator hears that the adapter is wanted elsewhere.
        if (choice.kind == RouteKind::WaitForLoad) {
            m_loads.request(call);
        }
        progress.excluded.clear();
        co_await pause(progress, m_options.pausePerLook);
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<Refusal>> RequestPath::attempt(Progress &progress, const RouteChoice &choice)
{
    const auto destination = destinationOf(choice);
    if (!destination) {
        co_await pause(progress, m_options.pausePerLook);
        co_return std::nullopt;
    }
    ++progress.attempts;
    TargetCall::End end = TargetCall::End::Answered;
    if (destination->kind == DestinationKind::Entry) {
        m_parts.metrics.count("forwards_total");
        end = co_await progress.target.run(*destination);
    } else {
        const auto &adapter = progress.call.adapter;
        const DispatchHold hold(m_parts.pins, m_parts.router, destination->target, adapter ? &*adapter : nullptr);
        end = co_await progress.target.run(*destination);
    }
    if (end == TargetCall::End::Answered) {
        progress.answered = true;
        co_return std::nullopt;
    }
    progress.lastReason = progress.target.reason();
    if (!destination->target.empty()) {
        progress.excluded.insert(destination->target);
    }
    const bool costly = end == TargetCall::End::Lost || destination->kind == DestinationKind::Entry;
    progress.costly += costly ? 1 : 0;
    const bool exhausted = progress.costly >= m_options.maxAttempts || progress.attempts >= m_options.maxNotRunAttempts;
    const bool blamed = progress.target.crashed() && m_crashes.isBlamed(progress.call.fingerprint, Clock::now());
    if (blamed || exhausted || !progress.life.mayDispatch()
        || !co_await pauseForRetry(progress, end == TargetCall::End::Lost)) {
        co_return progress.lastReason;
    }
    co_return std::nullopt;
}

asio::awaitable<bool> RequestPath::pauseForRetry(Progress &progress, bool mayHaveRun)
{
    // An attempt that did not run put no load on a target, so only the others count against the budget.
    if (mayHaveRun && !m_retries.take()) {
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

void RequestPath::noteSuspects(const std::vector<std::uint64_t> &fingerprints)
{
    m_crashes.noteSuspects(fingerprints, Clock::now());
}

std::size_t RequestPath::inFlight() const
{
    return m_watch.size();
}

void RequestPath::writeMetrics(Metrics &metrics) const
{
    metrics.gauge("requests_in_flight", static_cast<double>(m_watch.size()));
    metrics.gauge("requests_queued", m_gate.admission().queued());
    metrics.gauge("requests_waiting_for_load", static_cast<double>(m_loads.waiting()));
    metrics.gauge("idle_target_connections", static_cast<double>(m_parts.connections.idle()));
}

} // namespace tamarackcove
