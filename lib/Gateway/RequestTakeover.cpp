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
/// Time between two attempts to have a request taken over, and their largest number. Each of them costs a retry.
static constexpr milliseconds TakeoverInterval{300};
static constexpr int MaxTakeovers = 3;
/// How long a stream may be open at a silent server after another one has begun to run it. The platform allows 400 ms
/// in which both run it; the rest is for the way to the servers.
static constexpr milliseconds MaxOverlap{250};
/// Interval between two checks whether the silent server has gone on while another one is asked.
static constexpr milliseconds GoneOnCheckInterval{100};
/// How long the servers of streams may be silent although they are sound.
static constexpr milliseconds SoundSilence{1500};

bool RequestRelay::mayBeTakenOver(const Exchange &exchange) const
{
    return exchange.route->repeatable() && exchange.possibleRuns + 1 < exchange.route->maxServers
        && exchange.takeoverCount < MaxTakeovers;
}

milliseconds RequestRelay::maxSilence(const Exchange &exchange)
{
    const auto &route = *exchange.route;
    if (route.kind != RequestKind::Stream) {
        return route.goal * 2;
    }
    return std::max(exchange.streamStarted ? route.eventGapGoal * 2 : route.goal * 3 / 2, SoundSilence);
}

void RequestRelay::setTakeoverHook(Exchange &exchange, const Attempt &attempt)
{
    attempt.connection->setSilenceHook([this, &exchange, silent = attempt.choice.server.id] {
        const auto now = Clock::now();
        const auto left = exchange.remainingTime(now);
        if (left <= Exchange::AnswerMargin || exchange.watched.isCallerGone()) {
            return milliseconds(0);
        }
        if (now < exchange.nextTakeoverAt) {
            return std::min(left, std::chrono::ceil<milliseconds>(exchange.nextTakeoverAt - now));
        }
        auto requirements = requirementsOf(exchange);
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
        && exchange.remainingTime(Clock::now()) > Exchange::AnswerMargin;
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
    // The server is avoided from now on, not only once the attempt has ended.
    if (!std::exchange(attempt->silenceRecorded, true)) {
        auto &servers = m_parts.view.servers();
        servers.startRequest(attempt->choice.server.id, 0);
        servers.endRequest(attempt->choice.server.id, 0, ServerOutcome::NoAnswer, Clock::now());
        recordUnanswered(exchange, *attempt, HttpError{HttpErrorCode::TimedOut, {}});
    }
    ++exchange.takeoverCount;
    attempt->splitterWhenSilent = exchange.splitter;
    exchange.silentAttempt = std::move(attempt);
    return Step::Silent;
}

void RequestRelay::giveUpSilentAttempt(Exchange &exchange, std::string_view reason)
{
    const auto attempt = std::exchange(exchange.silentAttempt, nullptr);
    if (!attempt) {
        return;
    }
    const auto lastProgressAt = std::exchange(exchange.lastProgressAt, attempt->progressAt);
    (void)recordLostAnswer(exchange, attempt->choice, ServerOutcome::Unrelated, reason);
    exchange.lastProgressAt = lastProgressAt;
}

bool RequestRelay::returnsToSilentServer(Exchange &exchange)
{
    if (exchange.silentAttempt->connection->hasUnreadBytes()) {
        return true;
    }
    giveUpSilentAttempt(exchange, "silent while another server runs the request");
    return false;
}

milliseconds RequestRelay::overlapLeft(const Attempt &attempt)
{
    const auto left = duration_cast<milliseconds>(attempt.progressAt + MaxOverlap - Clock::now());
    return std::max(left, milliseconds(1));
}

void RequestRelay::endSilentAttempt(Exchange &exchange)
{
    if (const auto attempt = std::exchange(exchange.silentAttempt, nullptr)) {
        m_parts.view.servers().endRequest(attempt->choice.server.id, exchange.weight, ServerOutcome::Unrelated,
                                          Clock::now());
    }
}

asio::awaitable<RequestRelay::Step> RequestRelay::returnToSilentServer(Exchange &exchange)
{
    auto attempt = std::exchange(exchange.silentAttempt, nullptr);
    exchange.nextTakeoverAt = Clock::now() + TakeoverInterval;
    exchange.lastServer = attempt->choice.server.id;
    exchange.lastProgressAt = attempt->progressAt;
    exchange.splitter = std::move(attempt->splitterWhenSilent);
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
    while (exchange.silentAttempt) {
        const auto left = exchange.remainingTime(Clock::now());
        auto head = co_await connection.readHead(atLeastOne(std::min(left, GoneOnCheckInterval)));
        const bool timedOut = head.has_error() && head.error().code == HttpErrorCode::TimedOut;
        // A server begins to run a request with its answer. Until then it may still refuse the request, and the silent
        // server is the only one that runs it.
        if (!timedOut || exchange.watched.isCallerGone() || left <= GoneOnCheckInterval
            || exchange.silentAttempt->connection->hasUnreadBytes()
            || Clock::now() >= attempt.sentAt + maxSilence(exchange)) {
            co_return head;
        }
    }
    auto timeout = exchange.remainingTime(Clock::now());
    if (mayBeTakenOver(exchange) && exchange.route->goal > milliseconds(0)) {
        setTakeoverHook(exchange, attempt);
        timeout = std::min(timeout, duration_cast<milliseconds>(attempt.sentAt + maxSilence(exchange) - Clock::now()));
    }
    co_return co_await connection.readHead(atLeastOne(timeout));
}

} // namespace tamarackcove
