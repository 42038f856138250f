#include "tamarackcove/Entry/Targets/TargetCall.h"

#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Entry/Targets/StreamRelay.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/RequestLifecycle.h"
#include "tamarackcove/Requests/UnreachableTargets.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr std::string_view StillArrives = "the response still arrives after its time limit";

static bool isEventStream(const HttpResponse &head)
{
    const auto type = head.headers.find("content-type");
    return type && type->starts_with("text/event-stream");
}

asio::awaitable<TargetCall::ReceiveEnd> TargetCall::receive(bool resumed)
{
    auto head = co_await m_connection->readHead(readTimeout());
    if (head.has_error()) {
        logBroken(head.error());
        co_return ReceiveEnd::Broken;
    }
    // Only a response shows that the target is up: a network relay may accept connections for a target that is down.
    if (m_destination.kind != DestinationKind::Entry) {
        m_context.unreachable.noteReached(m_destination.target);
    }
    if (head.value().status == 200 && isEventStream(head.value()) && m_destination.kind != DestinationKind::Service) {
        co_return co_await receiveEvents(head.value());
    }
    co_return co_await receiveBuffered(std::move(head.value()), resumed);
}

asio::awaitable<TargetCall::ReceiveEnd> TargetCall::receiveEvents(const HttpResponse &head)
{
    const auto end = co_await m_relay->relay(*m_connection, head);
    if (end == StreamRelay::End::Broken) {
        co_return ReceiveEnd::Broken;
    }
    if (end == StreamRelay::End::TooLate) {
        co_return giveUp(StillArrives);
    }
    if (end == StreamRelay::End::CallerGone) {
        co_return ReceiveEnd::CallerGone;
    }
    if (end == StreamRelay::End::Complete && !m_relay->recorded().empty()) {
        co_await recordResponse(head.status, "text/event-stream", m_relay->recorded());
    }
    co_return ReceiveEnd::Complete;
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

bool TargetCall::checkNotRun(const HttpResponse &response)
{
    const auto status = response.status;
    if (status != 404 && status != 429 && status != 503) {
        return false;
    }
    const auto code = errorCodeOf(response);
    // The zone view of this entry is outdated. An engine without the adapter cannot have run the request.
    const bool notLoaded
        = status == 404 && m_destination.kind == DestinationKind::Engine && code == "adapter_not_loaded";
    const bool refused = (status == 503 && (code == "not_run" || code == "draining"))
        || (status == 429 && code == "overloaded" && m_destination.kind == DestinationKind::Entry);
    if (notLoaded || refused) {
        m_reason = {code == "overloaded" ? RefusalCode::Overloaded : RefusalCode::NotRun,
                    "the target refused the request: " + code, m_context.options.notRunRetryAfter};
    }
    return notLoaded || refused;
}

asio::awaitable<TargetCall::ReceiveEnd> TargetCall::receiveBuffered(HttpResponse head, bool resumed)
{
    auto response = std::move(head);
    const auto endTime = std::min(responseEndTime(), Clock::now() + m_context.options.maxBufferingTime);
    while (true) {
        if (Clock::now() > endTime) {
            co_return giveUp(StillArrives);
        }
        auto piece = co_await m_connection->readPiece(readTimeout());
        if (piece.has_error()) {
            logBroken(piece.error());
            co_return ReceiveEnd::Broken;
        }
        if (!piece.value()) {
            break;
        }
        if (response.body.size() + piece.value()->size() > m_context.options.maxResponseBytes) {
            co_return giveUp("the response exceeds its size limit");
        }
        response.body += *piece.value();
        if (m_destination.kind == DestinationKind::Service
            && response.body.size() > m_context.options.maxBufferedBytes) {
            auto buffered = std::exchange(response.body, {});
            co_return co_await relayBody(std::move(response), std::move(buffered));
        }
    }
    if (resumed && response.status != 200) {
        co_return ReceiveEnd::Unresumable;
    }
    if (!resumed && checkNotRun(response)) {
        co_return ReceiveEnd::NotRun;
    }
    if (m_responder.started()) {
        co_return ReceiveEnd::Unresumable;
    }
    if (m_life.hasReservedKey() && response.body.size() <= m_context.options.maxRecordedBytes) {
        const auto type = response.headers.find("content-type");
        co_await recordResponse(response.status, std::string(type.value_or("application/json")), response.body);
    }
    (void)co_await m_responder.send(std::move(response));
    co_return ReceiveEnd::Complete;
}

asio::awaitable<TargetCall::ReceiveEnd> TargetCall::relayBody(HttpResponse head, std::string buffered)
{
    m_life.startStream();
    if ((co_await m_responder.beginStream(std::move(head))).has_error()
        || (co_await m_responder.writePiece(buffered)).has_error()) {
        co_return ReceiveEnd::CallerGone;
    }
    while (true) {
        if (Clock::now() > responseEndTime()) {
            co_return giveUp(StillArrives);
        }
        auto piece = co_await m_connection->readPiece(readTimeout());
        if (piece.has_error()) {
            logBroken(piece.error());
            // The body cannot carry an error. The missing last chunk shows the caller that it was truncated.
            co_return ReceiveEnd::Broken;
        }
        if (!piece.value()) {
            break;
        }
        if ((co_await m_responder.writePiece(*piece.value())).has_error()) {
            co_return ReceiveEnd::CallerGone;
        }
    }
    (void)co_await m_responder.endStream();
    co_return ReceiveEnd::Complete;
}

void TargetCall::logBroken(const HttpError &error) const
{
    // This entry has closed the connection itself.
    if (m_watched.isCallerGone()) {
        return;
    }
    LogLine(LogLevel::Info, "response_broken_off")
        .add("request", m_call.id.value())
        .add("target", m_destination.target.value())
        .add("after_ms", duration_cast<milliseconds>(Clock::now() - m_dispatchedAt))
        .add("tokens", m_relay->tokens())
        .add("reason", error.detail);
}

TargetCall::ReceiveEnd TargetCall::giveUp(std::string_view reason) const
{
    LogLine(LogLevel::Warning, "response_given_up")
        .add("request", m_call.id.value())
        .add("target", m_destination.target.value())
        .add("after_ms", duration_cast<milliseconds>(Clock::now() - m_dispatchedAt))
        .add("tokens", m_relay->tokens())
        .add("max_bytes", static_cast<std::uint64_t>(m_context.options.maxResponseBytes))
        .add("reason", reason);
    return ReceiveEnd::Unresumable;
}

asio::awaitable<void> TargetCall::recordResponse(int status, std::string contentType, std::string body)
{
    const auto recorded = co_await m_context.control.completeCall(m_call.idempotencyKey, status, std::move(contentType),
                                                                  std::move(body));
    if (recorded.has_error()) {
        // Not fatal: a resend of the call gets outcome_unknown instead of the recorded response.
        m_context.metrics.count("call_records_failed_total");
        LogLine(LogLevel::Warning, "call_not_recorded")
            .add("request", m_call.id.value())
            .add("reason", recorded.error().detail);
    }
}

} // namespace tamarackcove
