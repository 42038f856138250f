#include "RequestExchange.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"

namespace tamarackcove {

static std::string_view toString(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::ServerFailed:
        return "server_failed";
    case RequestOutcome::Refused:
        return "refused";
    case RequestOutcome::StreamCut:
        return "cut";
    case RequestOutcome::CallerGone:
        return "caller_gone";
    }
    return "unknown";
}

static std::string_view adapterOf(const CallerRequest &caller)
{
    return caller.adapter ? std::string_view(caller.adapter->adapter) : std::string_view();
}

void RequestRelay::logRouted(const Exchange &exchange) const
{
    if (!exchange.sampled) {
        return;
    }
    LogLine(LogLevel::Info, "request_routed")
        .add("request", exchange.caller.attemptId)
        .add("route", exchange.route->name)
        .add("service", exchange.service.value())
        .add("workspace", exchange.workspaceName())
        .add("adapter", adapterOf(exchange.caller))
        .add("configuration", exchange.routes->configuration().version)
        .add("left_ms", exchange.remainingTime(exchange.arrivedAt));
}

void RequestRelay::logAdapterWait(const Exchange &exchange, Duration waited, std::string_view result) const
{
    m_parts.metrics.observe(Metrics::labelled("adapter_wait_seconds", {{"result", result}}), waited);
    LogLine(LogLevel::Info, "adapter_awaited")
        .add("request", exchange.caller.attemptId)
        .add("adapter", adapterOf(exchange.caller))
        .add("named_version", exchange.caller.adapter ? m_parts.view.latestVersion(*exchange.caller.adapter) : 0)
        .add("waited_ms", duration_cast<milliseconds>(waited))
        .add("control_age_ms", m_parts.view.updateAge(Clock::now()))
        .add("result", result);
}

void RequestRelay::logSent(const Exchange &exchange, const ServerDirectory::Choice &choice, milliseconds timeLeft) const
{
    m_parts.metrics.count(Metrics::labelled(
        "server_choices_total", {{"service", exchange.service.value()}, {"reason", choiceReasonName(choice.reason)}}));
    if (exchange.sendCount == 1 && !exchange.sampled) {
        return;
    }
    const auto noReport = choice.loadAge == Duration::max();
    LogLine(LogLevel::Info, exchange.streamStarted ? "stream_resumed" : "request_sent")
        .add("request", exchange.caller.attemptId)
        .add("server", choice.server.id.value())
        .add("started_at", choice.server.startedAt.value())
        .add("zone", choice.zone.value())
        .add("version", choice.version)
        .add("sent", exchange.sendCount)
        .add("choice", choiceReasonName(choice.reason))
        .add("load", choice.load)
        .add("slowness", choice.slowness)
        .add("weight", exchange.weight)
        .add("memory_tokens", exchange.cost.memoryTokens())
        .add("load_age_ms", noReport ? milliseconds(-1) : duration_cast<milliseconds>(choice.loadAge))
        .add("last_event", exchange.streamStarted ? exchange.splitter.lastId().value_or("") : std::string())
        .add("left_ms", timeLeft);
}

void RequestRelay::logOverAllowance(const Exchange &exchange, double units, std::string_view decision,
                                    milliseconds retryAfter)
{
    const auto now = Clock::now();
    auto &allowances = m_parts.view.admission().allowances();
    for (const auto &usage : allowances.usage(now)) {
        if (usage.workspace != exchange.workspace->name) {
            continue;
        }
        LogLine(LogLevel::Info, "over_allowance")
            .add("request", exchange.caller.attemptId)
            .add("workspace", exchange.workspaceName())
            .add("decision", decision)
            .add("units", units)
            .add("level", usage.level)
            .add("share_rate", usage.share.rate)
            .add("standalone_rate", usage.share.standaloneRate)
            .add("admitted_part", usage.share.admittedPart)
            .add("share_age_ms", duration_cast<milliseconds>(now - allowances.renewedAt()))
            .add("retry_after_ms", retryAfter);
    }
}

void RequestRelay::recordEnd(const Exchange &exchange)
{
    const auto now = Clock::now();
    const auto outcome = toString(exchange.outcome);
    const auto route = exchange.route == nullptr ? std::string_view() : std::string_view(exchange.route->name);
    auto &metrics = m_parts.metrics;
    metrics.count(Metrics::labelled("requests_total",
                                    {{"route", route}, {"outcome", outcome}, {"reason", exchange.failureReason}}));
    metrics.observe(Metrics::labelled("request_seconds", {{"route", route}, {"outcome", outcome}}),
                    now - exchange.arrivedAt);
    if (exchange.firstEventAt) {
        metrics.observe(Metrics::labelled("first_event_seconds", {{"route", route}}),
                        *exchange.firstEventAt - exchange.arrivedAt);
    }
    const bool answeredDirectly = exchange.outcome == RequestOutcome::Answered && exchange.sendCount <= 1
        && exchange.adapterWait == Duration(0);
    if (answeredDirectly && !exchange.sampled) {
        return;
    }
    LogLine(LogLevel::Info, "request_ended")
        .add("request", exchange.caller.attemptId)
        .add("route", route)
        .add("service", exchange.service.value())
        .add("adapter", adapterOf(exchange.caller))
        .add("server", exchange.lastServer.value())
        .add("outcome", outcome)
        .add("reason", exchange.failureReason)
        .add("sent", exchange.sendCount)
        .add("ran", exchange.possibleRuns)
        .add("refusals", exchange.serverRefusals)
        .add("events", exchange.eventCount)
        .add("waited_ms", duration_cast<milliseconds>(exchange.adapterWait))
        .add("first_event_ms",
             exchange.firstEventAt ? duration_cast<milliseconds>(*exchange.firstEventAt - exchange.arrivedAt)
                                   : milliseconds(-1))
        .add("after_ms", duration_cast<milliseconds>(now - exchange.arrivedAt))
        .add("left_ms", exchange.route == nullptr ? milliseconds(0) : exchange.remainingTime(now));
}

} // namespace tamarackcove
