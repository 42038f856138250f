#include "RequestExchange.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

/// When the caller of a quarantined request may come back.
static constexpr std::chrono::minutes QuarantineRetryAfter{5};

asio::awaitable<void> RequestRelay::answerUnservedRequest(Exchange &exchange)
{
    if (exchange.watched.isCallerGone()) {
        co_return;
    }
    if (exchange.streamStarted) {
        // The connection is closed without the end of the stream, so that the caller sees that the answer is
        // incomplete.
        exchange.outcome = RequestOutcome::StreamCut;
        exchange.failureReason = "not_resumed";
        LogLine(LogLevel::Warning, "stream_cut")
            .add("request", exchange.caller.attemptId)
            .add("sent", exchange.sendCount)
            .add("events", exchange.eventCount)
            .add("last_event", exchange.splitter.lastId().value_or(""))
            .add("reason", exchange.failureDetail);
        co_return;
    }
    if (exchange.failureResponse) {
        exchange.outcome = RequestOutcome::ServerFailed;
        exchange.failureReason = "server_error";
        (void)co_await exchange.responder.send(std::move(*exchange.failureResponse));
        co_return;
    }
    if (exchange.possibleRuns > 0) {
        const bool late = exchange.remainingTime(Clock::now()) <= Exchange::AnswerMargin;
        co_await refuse(exchange, late ? EntryRefusal::TimedOut : EntryRefusal::OutcomeUnknown, milliseconds(0));
        co_return;
    }
    if (exchange.quarantinedSuspect) {
        m_parts.metrics.count("requests_quarantined_total");
        co_await refuse(exchange, EntryRefusal::Quarantined, QuarantineRetryAfter);
        co_return;
    }
    if (refusedByStop(exchange)) {
        // Another entry can take the request at once.
        co_await refuse(exchange, EntryRefusal::Stopping, milliseconds(0));
        co_return;
    }
    co_await refuse(exchange, EntryRefusal::NoServer, retryAfterFor(exchange));
}

milliseconds RequestRelay::retryAfterFor(const Exchange &exchange) const
{
    const auto now = Clock::now();
    const ServerDirectory::Requirements requirements{.service = exchange.service, .model = exchange.caller.model};
    const auto returnsAt = m_parts.view.servers().earliestReturn(requirements, now);
    // A server that wants requests before that may have been full, or may load the adapter.
    if (!returnsAt || m_parts.view.servers().choose(requirements, now)) {
        return Exchange::RefusalRetryAfter;
    }
    return std::max(Exchange::RefusalRetryAfter, std::chrono::ceil<milliseconds>(*returnsAt - now));
}

static std::string_view toString(EntryRefusal refusal)
{
    switch (refusal) {
    case EntryRefusal::NoRoute:
        return "no_route";
    case EntryRefusal::NotReady:
        return "not_ready";
    case EntryRefusal::UnknownKey:
        return "unknown_key";
    case EntryRefusal::OverAllowance:
        return "over_allowance";
    case EntryRefusal::NoServer:
        return "no_server";
    case EntryRefusal::Overloaded:
        return "overloaded";
    case EntryRefusal::Quarantined:
        return "quarantined";
    case EntryRefusal::Stopping:
        return "stopping";
    case EntryRefusal::OutcomeUnknown:
        return "outcome_unknown";
    case EntryRefusal::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

asio::awaitable<void> RequestRelay::refuse(Exchange &exchange, EntryRefusal refusal, milliseconds retryAfter)
{
    exchange.outcome = RequestOutcome::Refused;
    exchange.failureReason = toString(refusal);
    LogLine(LogLevel::Info, "request_refused")
        .add("request", exchange.caller.attemptId)
        .add("route", exchange.route == nullptr ? std::string_view() : std::string_view(exchange.route->name))
        .add("service", exchange.service.value())
        .add("workspace", exchange.workspaceName())
        .add("adapter",
             exchange.caller.adapter ? std::string_view(exchange.caller.adapter->adapter) : std::string_view())
        .add("reason", exchange.failureReason)
        .add("detail", exchange.failureDetail)
        .add("part",
             exchange.quarantinedSuspect ? std::string_view(exchange.quarantinedSuspect->value()) : std::string_view())
        .add("sent", exchange.sendCount)
        .add("refusals", exchange.serverRefusals)
        .add("servers", static_cast<std::uint64_t>(m_parts.view.servers().size()))
        .add("configuration", exchange.routes ? exchange.routes->configuration().version : 0)
        .add("control_age_ms", m_parts.view.updateAge(Clock::now()))
        .add("after_ms", duration_cast<milliseconds>(Clock::now() - exchange.arrivedAt));
    auto response = m_parts.dialect.refuse(exchange.caller, refusal, retryAfter);
    (void)co_await exchange.responder.send(std::move(response));
}

} // namespace tamarackcove
