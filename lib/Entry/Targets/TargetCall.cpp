#include "tamarackcove/Entry/Targets/TargetCall.h"

#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Entry/Targets/StreamRelay.h"
#include "tamarackcove/Entry/Targets/TargetConnections.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/CrashLedger.h"
#include "tamarackcove/Requests/RequestLifecycle.h"
#include "tamarackcove/Requests/UnreachableTargets.h"

#include <algorithm>

namespace asio = boost::asio;

namespace tamarackcove {

namespace {

/// Marks the request in the crash ledger as in flight on a target while in scope.
class InFlightGuard
{
public:
    InFlightGuard(CrashLedger &ledger, std::uint64_t fingerprint, const TargetId &target)
        : m_ledger(ledger)
        , m_fingerprint(fingerprint)
        , m_target(target)
    {
        m_ledger.noteDispatched(m_fingerprint, m_target);
    }
    ~InFlightGuard()
    {
        m_ledger.noteEnded(m_fingerprint, m_target);
    }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
    CrashLedger &m_ledger;
    std::uint64_t m_fingerprint;
    TargetId m_target;
};

} // namespace

TargetCall::TargetCall(const DispatchContext &context, const Call &call, const HttpRequest &outgoing,
                       HttpResponder &responder, RequestLifecycle &life, CallerWatch::WatchedRequest &watched)
    : m_context(context)
    , m_call(call)
    , m_outgoing(outgoing)
    , m_responder(responder)
    , m_life(life)
    , m_watched(watched)
{
    StreamRelay::Options options;
    options.progressTimeout = context.options.progressTimeout;
    options.endTime = responseEndTime();
    options.recordLimit = !call.idempotencyKey.empty() && !call.repeatable ? context.options.maxRecordedBytes : 0;
    StreamRelay::Hooks hooks;
    hooks.onStreamStart = [&life] {
        life.startStream();
    };
    hooks.onBroken = [this](const HttpError &error) {
        logBroken(error);
    };
    m_relay = std::make_unique<StreamRelay>(responder, options, std::move(hooks));
}

TargetCall::~TargetCall() = default;

const Refusal &TargetCall::reason() const
{
    return m_reason;
}

bool TargetCall::targetCrashed() const
{
    return m_targetCrashed;
}

std::uint64_t TargetCall::tokens() const
{
    return m_relay->tokens();
}

// An engine refuses a request id that it still knows, so every attempt has an id of its own.
std::string TargetCall::attemptId() const
{
    return m_attempt == 1 ? m_call.id.value() : m_call.id.value() + "-" + std::to_string(m_attempt);
}

HttpRequest TargetCall::attemptRequest() const
{
    auto request = m_outgoing;
    request.headers.set("x-request-id", attemptId());
    if (m_call.deadline != TimePoint::max()) {
        const auto left = duration_cast<milliseconds>(m_call.deadline - Clock::now());
        request.headers.set("x-tamarackcove-deadline-ms", std::to_string(std::max<std::int64_t>(left.count(), 1)));
    }
    if (m_destination.kind == DestinationKind::Entry) {
        request.headers.set("x-tamarackcove-hop", "1");
        request.headers.set("x-tamarackcove-repeatable", m_call.repeatable ? "true" : "false");
    }
    return request;
}

milliseconds TargetCall::readTimeout() const
{
    return m_destination.kind == DestinationKind::Engine ? m_context.options.progressTimeout : m_call.responseTimeout;
}

TimePoint TargetCall::responseEndTime() const
{
    return m_call.deadline == TimePoint::max() ? TimePoint::max() : m_call.deadline + m_context.options.maxLateTime;
}

TargetCall::End TargetCall::endAsNotRun(Refusal reason)
{
    m_reason = std::move(reason);
    return End::NotRun;
}

asio::awaitable<TargetCall::End> TargetCall::run(const Destination &destination)
{
    m_destination = destination;
    m_targetCrashed = false;
    m_failedResumes = 0;
    m_resumedAt = TimePoint();
    m_resumeOffset = 0;
    ++m_attempt;
    auto acquired = co_await m_context.connections.acquire(destination.endpoint, m_call.repeatable);
    if (acquired.has_error()) {
        m_context.metrics.count("target_connect_failures_total");
        if (destination.kind != DestinationKind::Entry) {
            m_context.unreachable.noteUnreachable(destination.target, Clock::now());
            m_context.zone.reportUnreachable(destination.target);
        }
        co_return endAsNotRun(
            {RefusalCode::NotRun, "the target cannot be reached, retry later", m_context.options.notRunRetryAfter});
    }
    m_connection = std::move(acquired.value());
    if (const auto end = co_await reserve()) {
        co_return *end;
    }
    if (m_watched.isCallerGone()) {
        co_return co_await endWithoutCaller();
    }
    // The view lease may have expired during the awaits above, after which the coordinator may evict the adapter.
    if (destination.kind != DestinationKind::Entry && !m_context.zone.mayDispatch(Clock::now())) {
        co_return endAsNotRun({RefusalCode::NotRun, "this entry has no valid view lease of its zone, retry later",
                               m_context.options.notRunRetryAfter});
    }
    m_watched.connection = m_connection.get();
    const auto end = co_await exchange();
    m_watched.connection = nullptr;
    if (m_connection) {
        m_context.connections.release(m_destination.endpoint, std::move(m_connection));
    }
    co_return end;
}

asio::awaitable<std::optional<TargetCall::End>> TargetCall::reserve()
{
    // An entry of another zone reserves the idempotency key itself, right before its own dispatch.
    if (m_call.repeatable || m_call.idempotencyKey.empty() || m_life.hasReservedKey()
        || m_destination.kind == DestinationKind::Entry) {
        co_return std::nullopt;
    }
    const auto reserved = co_await m_context.control.reserveCall(m_call.idempotencyKey, m_call.digest);
    if (reserved.has_error()) {
        m_reason = {RefusalCode::NotRun, "the idempotency key cannot be reserved now: " + reserved.error().detail,
                    m_context.options.notRunRetryAfter};
        m_life.refuse();
        auto refused = m_context.rendering.response(m_reason);
        (void)co_await m_responder.send(std::move(refused));
        co_return End::Answered;
    }
    const auto &reservation = reserved.value();
    if (reservation.outcome == ReservationOutcome::Granted) {
        m_life.reserve();
        co_return std::nullopt;
    }
    m_life.refuse();
    HttpResponse response;
    if (reservation.outcome == ReservationOutcome::Completed) {
        response.status = reservation.status;
        response.headers.set("content-type", reservation.contentType);
        response.body = reservation.body;
    } else if (reservation.outcome == ReservationOutcome::KeyReused) {
        response = m_context.rendering.response(
            {RefusalCode::DuplicateCall, "the idempotency key belongs to another request, use a new key", {}});
    } else {
        response = m_context.rendering.response(
            {RefusalCode::CallInDoubt, "the call was sent before and its outcome is not recorded", {}});
    }
    (void)co_await m_responder.send(std::move(response));
    co_return End::Answered;
}

asio::awaitable<TargetCall::End> TargetCall::exchange()
{
    std::optional<InFlightGuard> guard;
    if (m_destination.kind == DestinationKind::Engine) {
        guard.emplace(m_context.crashes, m_call.fingerprint, m_destination.target);
    }
    m_life.dispatch();
    m_dispatchedAt = Clock::now();
    const auto written = co_await m_connection->writeRequest(attemptRequest(), m_context.options.writeTimeout);
    if (written.has_error() && m_connection->requestBytesWritten() == 0) {
        m_life.recordNotRun();
        co_return endAsNotRun(
            {RefusalCode::NotRun, "the target closed the connection, retry later", m_context.options.notRunRetryAfter});
    }
    if (written.has_error()) {
        logBroken(written.error());
    }
    auto received = written.has_error() ? ReceiveEnd::Broken : co_await receive(false);
    while (received == ReceiveEnd::Broken && !m_watched.isCallerGone()
           && m_destination.kind == DestinationKind::Engine) {
        received = co_await recover();
    }
    if (m_watched.isCallerGone()) {
        received = ReceiveEnd::CallerGone;
    }
    switch (received) {
    case ReceiveEnd::Complete:
        m_life.finish();
        if (m_context.crashes.noteCompleted(m_call.fingerprint)) {
            m_context.control.reportSuspectCleared(m_call.fingerprint);
        }
        co_return End::Answered;
    case ReceiveEnd::NotRun:
        m_life.recordNotRun();
        co_return End::NotRun;
    case ReceiveEnd::CallerGone:
        co_return co_await endWithoutCaller();
    case ReceiveEnd::Broken:
    case ReceiveEnd::Unresumable:
        break;
    }
    co_return co_await endAsLost();
}

asio::awaitable<TargetCall::End> TargetCall::endAsLost()
{
    m_connection.reset();
    m_watched.connection = nullptr;
    m_context.connections.closeIdle(m_destination.endpoint);
    m_context.metrics.count("attempts_lost_total");
    if (m_destination.kind == DestinationKind::Engine) {
        co_await checkForCrash();
        if (!m_targetCrashed) {
            co_await cancel();
        }
    }
    m_life.recordLostResponse();
    m_reason = {RefusalCode::OutcomeUnknown, "the connection to the target was lost, the request may have run", {}};
    if (m_responder.started()) {
        m_context.metrics.count("streams_failed_total");
        if (m_relay->tokens() > 0) {
            auto event = m_context.rendering.event(m_reason);
            co_await m_relay->endWithError(std::move(event));
        }
        co_return End::Answered;
    }
    co_return End::Lost;
}

asio::awaitable<TargetCall::End> TargetCall::endWithoutCaller()
{
    m_context.metrics.count("callers_gone_total");
    m_connection.reset();
    m_watched.connection = nullptr;
    if (m_destination.kind == DestinationKind::Engine && !m_life.mayDispatch()) {
        // The adapter stays pinned until the engine has answered the cancellation, so that it is not evicted while the
        // request still runs.
        co_await cancel();
    }
    co_return End::Answered;
}

} // namespace tamarackcove
