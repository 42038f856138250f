#include "tamarackcove/Entry/Targets/TargetCall.h"

#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Entry/Targets/StreamRelay.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Requests/BrokenTargets.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/RequestLife.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

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
    // An open connection shows nothing: a relay of the network accepts it for a target that is down.
    if (m_destination.kind != DestinationKind::Entry) {
        m_context.broken.noteReached(m_destination.target);
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
                    "the target refused the request: " + code, m_context.options.notRunRetryAfter};
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
