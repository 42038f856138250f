#include "RequestExchange.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Observe/LogLine.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

/// Interval between two checks whether another server can take over the request of a silent one.
static constexpr milliseconds SilenceRecheckInterval{50};
/// Time between two attempts to have a request taken over. Each of them costs a retry.
static constexpr milliseconds TakeoverInterval{300};
/// How long a request may be open at a silent server after it was sent to another one. The platform allows 400 ms in
/// which both run it; the rest is for the way to the servers.
static constexpr milliseconds MaxOverlap{250};
/// The least time before the deadline that makes another attempt worthwhile.
static constexpr milliseconds MinTakeoverTime{25};

bool RequestRelay::mayBeTakenOver(const Exchange &exchange) const
{
    return exchange.route->repeatable() && exchange.possibleRuns + 1 < exchange.route->maxServers
        && exchange.serverRefusals < Exchange::MaxRefusals;
}

void RequestRelay::setTakeoverHook(Exchange &exchange, const Attempt &attempt)
{
    attempt.connection->setSilenceHook([this, &exchange, silent = attempt.choice.server.id] {
        const auto now = Clock::now();
        const auto left = exchange.remainingTime(now);
        if (left <= MinTakeoverTime || exchange.watched.isCallerGone()) {
            return milliseconds(0);
        }
        if (now < exchange.nextTakeoverAt) {
            return std::min(left, std::chrono::ceil<milliseconds>(exchange.nextTakeoverAt - now));
        }
        ServerDirectory::Requirements requirements{.service = exchange.service,
                                                   .model = exchange.caller.model,
                                                   .adapter = exchange.caller.adapter,
                                                   .excluded = exchange.excludedServers};
        requirements.excluded.insert(silent);
        if (requirements.adapter) {
            requirements.minVersion = m_parts.view.requiredVersion(*requirements.adapter, now);
        }
        const auto other = m_parts.view.servers().choose(requirements, now);
        if (other && !other->avoided && other->readyAt <= now
            && m_parts.view.retryBudget(exchange.service).remaining(now) >= 1 && takeRetry(exchange)) {
            return milliseconds(0);
        }
        return std::min(left, SilenceRecheckInterval);
    });
}

bool RequestRelay::takeoverDue(const Exchange &exchange, const HttpError &error) const
{
    return error.code == HttpErrorCode::TimedOut && exchange.retryGranted
        && exchange.remainingTime(Clock::now()) > MinTakeoverTime;
}

RequestRelay::Step RequestRelay::keepSilentAttempt(Exchange &exchange, std::unique_ptr<Attempt> attempt)
{
    LogLine(LogLevel::Info, "server_silent")
        .add("request", exchange.caller.attemptId)
        .add("server", attempt->choice.server.id.value())
        .add("streaming", attempt->streamHead ? "yes" : "no")
        .add("events", exchange.eventCount)
        .add("quiet_ms", duration_cast<milliseconds>(Clock::now() - exchange.lastProgressAt))
        .add("left_ms", exchange.remainingTime(Clock::now()));
    exchange.silentAttempt = std::move(attempt);
    return Step::Silent;
}

void RequestRelay::endSilentAttempt(Exchange &exchange, std::string_view reason)
{
    const auto attempt = std::exchange(exchange.silentAttempt, nullptr);
    if (!attempt) {
        return;
    }
    exchange.splitter.discardIncompleteEvent();
    (void)recordLostAnswer(exchange, attempt->choice, ServerOutcome::NoAnswer, reason);
}

asio::awaitable<RequestRelay::Step> RequestRelay::returnToSilentServer(Exchange &exchange)
{
    auto attempt = std::exchange(exchange.silentAttempt, nullptr);
    exchange.nextTakeoverAt = Clock::now() + TakeoverInterval;
    exchange.lastServer = attempt->choice.server.id;
    LogLine(LogLevel::Info, "silent_server_kept")
        .add("request", exchange.caller.attemptId)
        .add("server", attempt->choice.server.id.value())
        .add("sent", exchange.sendCount)
        .add("reason", exchange.failureDetail);
    if (attempt->streamHead) {
        const auto step = co_await relayStream(exchange, std::move(attempt));
        exchange.watched.connection = nullptr;
        co_return step;
    }
    co_return co_await awaitAnswer(exchange, std::move(attempt));
}

asio::awaitable<Result<HttpResponse, HttpError>> RequestRelay::awaitHead(Exchange &exchange, Attempt &attempt)
{
    auto &connection = *attempt.connection;
    connection.setSilenceHook({});
    const auto atLeastOne = [](milliseconds time) {
        return std::max(time, milliseconds(1));
    };
    if (exchange.silentAttempt) {
        const auto left = exchange.remainingTime(Clock::now());
        auto head = co_await connection.readHead(atLeastOne(std::min(left, MaxOverlap)));
        const bool timedOut = head.has_error() && head.error().code == HttpErrorCode::TimedOut;
        if (!timedOut || exchange.watched.isCallerGone() || exchange.silentAttempt->connection->hasUnreadBytes()) {
            co_return head;
        }
        endSilentAttempt(exchange, "silent while another server was asked");
    }
    auto timeout = exchange.remainingTime(Clock::now());
    const auto &route = *exchange.route;
    if (mayBeTakenOver(exchange) && route.goal > milliseconds(0)) {
        setTakeoverHook(exchange, attempt);
        const auto maxSilence = route.kind == RequestKind::Stream ? route.goal * 3 / 2 : route.goal * 2;
        timeout = std::min(timeout, duration_cast<milliseconds>(attempt.sentAt + maxSilence - Clock::now()));
    }
    co_return co_await connection.readHead(atLeastOne(timeout));
}

} // namespace tamarackcove
