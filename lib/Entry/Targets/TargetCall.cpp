#include "tamarackcove/Entry/Targets/TargetCall.h"

#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Entry/Targets/StreamRelay.h"
#include "tamarackcove/Entry/Targets/TargetConnections.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Requests/BrokenTargets.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/CrashLedger.h"
#include "tamarackcove/Requests/RequestLife.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

namespace {

/// Notes in the crash ledger that the request is in flight on a target.
class InFlightMark
{
public:
    InFlightMark(CrashLedger &ledger, std::uint64_t fingerprint, const TargetId &target)
        : m_ledger(ledger)
        , m_fingerprint(fingerprint)
        , m_target(target)
    {
        m_ledger.noteDispatched(m_fingerprint, m_target);
    }
    ~InFlightMark()
    {
        m_ledger.noteEnded(m_fingerprint, m_target);
    }
    InFlightMark(const InFlightMark &) = delete;
    InFlightMark &operator=(const InFlightMark &) = delete;

private:
    CrashLedger &m_ledger;
    std::uint64_t m_fingerprint;
    TargetId m_target;
};

} // namespace

static constexpr milliseconds NotRunRetryAfter{1000};

TargetCall::TargetCall(const DispatchContext &context, const Call &call, const HttpRequest &outgoing,
                       HttpResponder &responder, RequestLife &life, CallerWatch::Watched &watched)
    : m_context(context)
    , m_call(call)
    , m_outgoing(outgoing)
    , m_responder(responder)
    , m_life(life)
    , m_watched(watched)
{
    StreamRelay::Options options;
    options.progressTimeout = context.options.progressTimeout;
    options.maxRecorded = !call.idempotencyKey.empty() && !call.repeatable ? context.options.maxRecordedBytes : 0;
    StreamRelay::Hooks hooks;
    hooks.onFirst = [&life] {
        life.stream();
    };
    m_relay = std::make_unique<StreamRelay>(responder, options, std::move(hooks));
}

TargetCall::~TargetCall() = default;

const Refusal &TargetCall::reason() const
{
    return m_reason;
}

bool TargetCall::crashed() const
{
    return m_crashed;
}

std::uint64_t TargetCall::tokens() const
{
    return m_relay->tokens();
}

// An engine refuses an id that it still knows, so every attempt has its own.
static std::string attemptId(const RequestId &id, int attempt)
{
    return attempt == 1 ? id.value() : id.value() + "-" + std::to_string(attempt);
}

HttpRequest TargetCall::attemptRequest() const
{
    auto request = m_outgoing;
    request.headers.set("x-request-id", attemptId(m_call.id, m_attempt));
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

milliseconds TargetCall::answerTimeout() const
{
    return m_destination.kind == DestinationKind::Engine ? m_context.options.progressTimeout : m_call.responseTimeout;
}

TargetCall::End TargetCall::notRun(Refusal reason)
{
    m_reason = std::move(reason);
    return End::NotRun;
}

asio::awaitable<TargetCall::End> TargetCall::run(const Destination &destination)
{
    m_destination = destination;
    m_crashed = false;
    ++m_attempt;
    auto acquired = co_await m_context.connections.acquire(destination.endpoint, m_call.repeatable);
    if (acquired.has_error()) {
        m_context.metrics.count("target_connect_failures_total");
        if (destination.kind != DestinationKind::Entry) {
            m_context.broken.noteBroken(destination.target, Clock::now());
            m_context.zone.reportBroken(destination.target);
        }
        co_return notRun({RefusalCode::NotRun, "the target cannot be reached, retry later", NotRunRetryAfter});
    }
    m_connection = std::move(acquired.value());
    m_context.broken.noteReached(destination.target);
    if (const auto end = co_await reserve()) {
        co_return *end;
    }
    if (m_watched.gone()) {
        co_return co_await abandon();
    }
    // The view lease may have run out meanwhile, and the adapter may then be evicted.
    if (destination.kind != DestinationKind::Entry && !m_context.zone.mayDispatch(Clock::now())) {
        co_return notRun({RefusalCode::NotRun, "this entry has lost its zone, retry later", NotRunRetryAfter});
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
    // An entry of another zone reserves for itself, right before its own dispatch.
    if (m_call.repeatable || m_call.idempotencyKey.empty() || m_life.reserved()
        || m_destination.kind == DestinationKind::Entry) {
        co_return std::nullopt;
    }
    const auto reserved = co_await m_context.control.reserveCall(m_call.idempotencyKey, m_call.digest);
    if (reserved.has_error()) {
        m_reason
            = {RefusalCode::NotRun, "the call cannot be recorded now: " + reserved.error().detail, NotRunRetryAfter};
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
    std::optional<InFlightMark> mark;
    if (m_destination.kind == DestinationKind::Engine) {
        mark.emplace(m_context.crashes, m_call.fingerprint, m_destination.target);
    }
    m_life.dispatch();
    m_lastProgress = Clock::now();
    const auto written = co_await m_connection->writeRequest(attemptRequest(), m_context.options.writeTimeout);
    if (written.has_error() && m_connection->requestBytesWritten() == 0) {
        m_life.notRun();
        co_return notRun({RefusalCode::NotRun, "the target closed the connection, retry later", NotRunRetryAfter});
    }
    auto received = written.has_error() ? Received::Broken : co_await receive(false);
    while (received == Received::Broken && !m_watched.gone() && m_destination.kind == DestinationKind::Engine) {
        received = co_await recover();
    }
    if (m_watched.gone()) {
        received = Received::CallerGone;
    }
    switch (received) {
    case Received::Complete:
        m_life.finish();
        if (m_context.crashes.noteCompleted(m_call.fingerprint)) {
            m_context.control.reportCleared(m_call.fingerprint);
        }
        co_return End::Answered;
    case Received::NotRun:
        m_life.notRun();
        co_return End::NotRun;
    case Received::CallerGone:
        co_return co_await abandon();
    case Received::Broken:
    case Received::Unknown:
        break;
    }
    co_return co_await lost();
}

asio::awaitable<TargetCall::Received> TargetCall::recover()
{
    m_context.connections.distrust(m_destination.endpoint);
    m_connection->close();
    if (Clock::now() - std::max(m_lastProgress, m_relay->lastProgress()) > m_call.responseTimeout) {
        co_return Received::Unknown;
    }
    m_life.breakStream();
    for (int failures = 0; failures < m_context.options.maxResumeFailures; ++failures) {
        if (failures > 0) {
            asio::steady_timer pause(co_await asio::this_coro::executor, m_context.options.resumePause);
            co_await pause.async_wait(asio::use_awaitable);
        }
        if (m_watched.gone()) {
            co_return Received::CallerGone;
        }
        if (!co_await sendResume()) {
            if (m_crashed) {
                co_return Received::Unknown;
            }
            continue;
        }
        m_context.metrics.count("resumes_total");
        m_life.resume();
        co_return co_await receive(true);
    }
    co_return Received::Unknown;
}

asio::awaitable<bool> TargetCall::sendResume()
{
    auto opened = co_await m_context.connections.open(m_destination.endpoint);
    if (opened.has_error()) {
        if (opened.error().refused) {
            noteCrash();
        }
        co_return false;
    }
    m_connection = std::move(opened.value());
    m_watched.connection = m_connection.get();
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/resume";
    request.headers.set("content-type", "application/json");
    request.body
        = nlohmann::json{{"request_id", attemptId(m_call.id, m_attempt)}, {"offset", m_relay->nextOffset()}}.dump();
    const auto written = co_await m_connection->writeRequest(std::move(request), m_context.options.writeTimeout);
    co_return written.has_value();
}

static bool isEventStream(const HttpResponse &head)
{
    const auto type = head.headers.find("content-type");
    return type && type->starts_with("text/event-stream");
}

asio::awaitable<TargetCall::Received> TargetCall::receive(bool resumed)
{
    auto head = co_await m_connection->readHead(answerTimeout());
    if (head.has_error()) {
        co_return Received::Broken;
    }
    if (head.value().status == 200 && isEventStream(head.value()) && m_destination.kind != DestinationKind::Service) {
        co_return co_await receiveEvents(head.value());
    }
    co_return co_await receiveWhole(std::move(head.value()), resumed);
}

asio::awaitable<TargetCall::Received> TargetCall::receiveEvents(const HttpResponse &head)
{
    const auto end = co_await m_relay->relay(*m_connection, head);
    if (end == StreamRelay::End::Broken) {
        co_return Received::Broken;
    }
    if (end == StreamRelay::End::CallerGone) {
        co_return Received::CallerGone;
    }
    if (end == StreamRelay::End::Complete && !m_relay->recorded().empty()) {
        co_await record(head.status, "text/event-stream", m_relay->recorded());
    }
    co_return Received::Complete;
}

static std::string errorCodeOf(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const auto error = body.is_object() ? body.find("error") : body.end();
    if (!body.is_object() || error == body.end() || !error->is_object()) {
        return {};
    }
    const auto code = error->find("code");
    return code != error->end() && code->is_string() ? code->get<std::string>() : std::string();
}

bool TargetCall::saysNotRun(const HttpResponse &response)
{
    const auto status = response.status;
    if (status != 404 && status != 429 && status != 503) {
        return false;
    }
    const auto code = errorCodeOf(response);
    // An engine without the adapter cannot have run the request on it; the view of this entry is behind.
    const bool notLoaded
        = status == 404 && m_destination.kind == DestinationKind::Engine && code == "adapter_not_loaded";
    const bool refused = (status == 503 && (code == "not_run" || code == "draining"))
        || (status == 429 && code == "overloaded" && m_destination.kind == DestinationKind::Entry);
    if (notLoaded || refused) {
        m_reason = {code == "overloaded" ? RefusalCode::Overloaded : RefusalCode::NotRun,
                    "the target refused the request: " + code, NotRunRetryAfter};
    }
    return notLoaded || refused;
}

asio::awaitable<TargetCall::Received> TargetCall::receiveWhole(HttpResponse head, bool resumed)
{
    auto response = std::move(head);
    while (true) {
        auto piece = co_await m_connection->readPiece(answerTimeout());
        if (piece.has_error()) {
            co_return Received::Broken;
        }
        if (!piece.value()) {
            break;
        }
        response.body += *piece.value();
        if (m_destination.kind == DestinationKind::Service && response.body.size() > m_context.options.maxWholeBytes) {
            auto begun = std::exchange(response.body, {});
            co_return co_await relayBody(std::move(response), std::move(begun));
        }
    }
    if (resumed && response.status != 200) {
        co_return Received::Unknown;
    }
    if (!resumed && saysNotRun(response)) {
        co_return Received::NotRun;
    }
    if (m_responder.started()) {
        co_return Received::Unknown;
    }
    if (m_life.reserved() && response.body.size() <= m_context.options.maxRecordedBytes) {
        const auto type = response.headers.find("content-type");
        co_await record(response.status, std::string(type.value_or("application/json")), response.body);
    }
    (void)co_await m_responder.send(std::move(response));
    co_return Received::Complete;
}

asio::awaitable<TargetCall::Received> TargetCall::relayBody(HttpResponse head, std::string begun)
{
    m_life.stream();
    if ((co_await m_responder.beginStream(std::move(head))).has_error()
        || (co_await m_responder.writePiece(begun)).has_error()) {
        co_return Received::CallerGone;
    }
    while (true) {
        auto piece = co_await m_connection->readPiece(answerTimeout());
        if (piece.has_error()) {
            // The body has no place for an error; without its last chunk the caller sees that it is cut.
            co_return Received::Broken;
        }
        if (!piece.value()) {
            break;
        }
        if ((co_await m_responder.writePiece(*piece.value())).has_error()) {
            co_return Received::CallerGone;
        }
    }
    (void)co_await m_responder.endStream();
    co_return Received::Complete;
}

asio::awaitable<TargetCall::End> TargetCall::lost()
{
    m_connection.reset();
    m_watched.connection = nullptr;
    m_context.connections.distrust(m_destination.endpoint);
    m_context.metrics.count("attempts_lost_total");
    if (m_destination.kind == DestinationKind::Engine) {
        co_await examineTarget();
        if (!m_crashed) {
            co_await cancel();
        }
    }
    m_life.lose();
    m_reason = {RefusalCode::OutcomeUnknown, "the connection to the target was lost, the request may have run", {}};
    if (m_responder.started()) {
        m_context.metrics.count("streams_failed_total");
        if (m_relay->tokens() > 0) {
            auto event = m_context.rendering.event(m_reason);
            co_await m_relay->fail(std::move(event));
        }
        co_return End::Answered;
    }
    co_return End::Lost;
}

asio::awaitable<TargetCall::End> TargetCall::abandon()
{
    m_context.metrics.count("callers_gone_total");
    m_connection.reset();
    m_watched.connection = nullptr;
    if (m_destination.kind == DestinationKind::Engine && !m_life.mayDispatch()) {
        // The adapter stays pinned until the engine has let go of the request.
        co_await cancel();
    }
    co_return End::Answered;
}

asio::awaitable<void> TargetCall::cancel()
{
    auto connection = co_await m_context.connections.open(m_destination.endpoint);
    if (connection.has_error()) {
        co_return;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/cancel";
    request.headers.set("content-type", "application/json");
    request.body = nlohmann::json{{"request_id", attemptId(m_call.id, m_attempt)}}.dump();
    const auto done = co_await connection.value()->exchange(std::move(request), m_context.options.cancelTimeout);
    if (done.has_value()) {
        m_context.metrics.count("cancels_total");
        m_context.connections.release(m_destination.endpoint, std::move(connection.value()));
    }
}

asio::awaitable<void> TargetCall::examineTarget()
{
    if (m_crashed) {
        co_return;
    }
    auto connection = co_await m_context.connections.open(m_destination.endpoint);
    if (connection.has_error()) {
        if (connection.error().refused) {
            noteCrash();
        }
        co_return;
    }
    HttpRequest request;
    request.target = "/v1/state";
    const auto state = co_await connection.value()->exchange(std::move(request), m_context.options.progressTimeout);
    if (state.has_error()) {
        // A target that went down behind a relay of the network closes new connections instead of refusing them.
        if (state.error().code == HttpErrorCode::Closed) {
            noteCrash();
        }
        co_return;
    }
    const auto body = nlohmann::json::parse(state.value().body, nullptr, false);
    const auto incarnation = body.is_object() ? body.find("incarnation") : body.end();
    const bool announced = m_destination.incarnation != Incarnation();
    if (announced && body.is_object() && incarnation != body.end() && incarnation->is_number_unsigned()
        && incarnation->get<std::uint64_t>() != m_destination.incarnation.value()) {
        noteCrash();
    }
}

void TargetCall::noteCrash()
{
    m_crashed = true;
    m_context.broken.noteBroken(m_destination.target, Clock::now());
    const auto crash = m_context.crashes.noteCrash(m_destination.target, m_destination.incarnation, Clock::now());
    if (crash.inFlight.empty()) {
        return;
    }
    m_context.metrics.count("target_crashes_total");
    LogLine(LogLevel::Warning, "target_crashed")
        .add("target", m_destination.target.value())
        .add("in_flight", static_cast<std::uint64_t>(crash.inFlight.size()))
        .add("blamed", static_cast<std::uint64_t>(crash.blamed.size()));
    m_context.control.reportCrash(m_destination.target, m_destination.incarnation, crash.inFlight);
    m_context.zone.reportBroken(m_destination.target);
}

asio::awaitable<void> TargetCall::record(int status, std::string contentType, std::string body)
{
    const auto recorded = co_await m_context.control.completeCall(m_call.idempotencyKey, status, std::move(contentType),
                                                                  std::move(body));
    if (recorded.has_error()) {
        // A resend of the call gets outcome_unknown, which is true for its caller.
        m_context.metrics.count("call_records_failed_total");
        LogLine(LogLevel::Warning, "call_not_recorded")
            .add("request", m_call.id.value())
            .add("reason", recorded.error().detail);
    }
}

} // namespace tamarackcove
