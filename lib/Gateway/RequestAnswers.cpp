#include "RequestExchange.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Gateway/ServerConnections.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"

#include <boost/asio/awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

/// A server refuses requests for an adapter while it loads it; the request is sent again after this time.
static constexpr milliseconds LoadRetry{35};
/// How long after the expected end of a load a refusal is taken to mean that it is still in progress.
static constexpr milliseconds LoadOverrun{1500};
/// For reading the short body of a refusal, so that the connection can be used again.
static constexpr milliseconds RefusalTimeout{100};

asio::awaitable<RequestRelay::Step> RequestRelay::relay(Exchange &exchange, const ServerDirectory::Choice &choice,
                                                        std::unique_ptr<HttpConnection> connection, HttpResponse head)
{
    const auto answer = m_parts.dialect.readAnswer(exchange.caller, head);
    if (answer.notRun) {
        co_return co_await notRun(exchange, choice, std::move(connection), answer);
    }
    if (!answer.authentic) {
        co_return broken(exchange, choice, ServerOutcome::Broken, "the answer is not one to this request");
    }
    if (answer.eventStream && head.status == 200) {
        co_return co_await relayStream(exchange, choice, std::move(connection), std::move(head));
    }
    if (exchange.streaming) {
        co_return broken(exchange, choice, ServerOutcome::Failed, "the stream is not resumed");
    }
    co_return co_await relayWhole(exchange, choice, std::move(connection), std::move(head));
}

asio::awaitable<RequestRelay::Step> RequestRelay::notRun(Exchange &exchange, const ServerDirectory::Choice &choice,
                                                         std::unique_ptr<HttpConnection> connection,
                                                         const ServerAnswer &answer)
{
    const auto now = Clock::now();
    auto &servers = m_parts.view.servers();
    const auto &adapter = exchange.caller.adapter;
    const bool other = answer.wrongServer && !answer.server.empty() && answer.server != choice.server.id;
    // A load can take longer than expected, and a server refuses requests also while it replaces a version.
    const bool loading = adapter && !other
        && (choice.expectedAt + LoadOverrun > now
            || (!answer.wrongServer && choice.version < m_parts.view.namedVersion(*adapter)));
    servers.ended(choice.server.id, exchange.weight,
                  loading                  ? ServerOutcome::Unrelated
                      : answer.wrongServer ? ServerOutcome::WrongServer
                                           : ServerOutcome::Full,
                  now);
    if (loading) {
        if (choice.expectedAt + LoadOverrun > now) {
            m_parts.view.noteOverdue(choice.server.id, *adapter, duration_cast<milliseconds>(now - choice.expectedAt));
        }
        servers.postpone(choice.server.id, *adapter, now + LoadRetry * (1 + exchange.refusals));
    } else if (adapter && answer.wrongServer && !other) {
        servers.setHolding(choice.server.id, *adapter, 0, now);
        m_parts.view.noteMissing(choice.server.id, *adapter);
    } else {
        exchange.excluded.insert(choice.server.id);
    }
    const std::string_view reason = loading ? "loading" : answer.wrongServer ? "not_held" : "full";
    exchange.obstacle = loading ? "the server was still loading the adapter" : "the server did not take the request";
    m_parts.metrics.count(
        Metrics::labelled("server_refusals_total", {{"service", exchange.service.value()}, {"reason", reason}}));
    LogLine(LogLevel::Info, "server_refused")
        .add("request", exchange.caller.attemptId)
        .add("server", choice.server.id.value())
        .add("adapter", adapter ? std::string_view(adapter->adapter) : std::string_view())
        .add("version", choice.version)
        .add("reason", reason)
        .add("sent", exchange.sent);
    for (;;) {
        const auto piece = co_await connection->readPiece(RefusalTimeout);
        if (piece.has_error() || !piece.value()) {
            break;
        }
    }
    exchange.watched.connection = nullptr;
    m_parts.connections.release(choice.server, std::move(connection));
    co_return Step::NotRun;
}

asio::awaitable<RequestRelay::Step> RequestRelay::relayWhole(Exchange &exchange, const ServerDirectory::Choice &choice,
                                                             std::unique_ptr<HttpConnection> connection,
                                                             HttpResponse head)
{
    auto &servers = m_parts.view.servers();
    for (;;) {
        const auto left = std::max(exchange.left(Clock::now()), milliseconds(1));
        const auto piece = co_await connection->readPiece(left);
        if (piece.has_error()) {
            co_return broken(exchange, choice, ServerOutcome::Broken, piece.error().detail);
        }
        if (!piece.value()) {
            break;
        }
        head.body += *piece.value();
    }
    exchange.watched.connection = nullptr;
    m_parts.connections.release(choice.server, std::move(connection));
    const bool failed = head.status >= 500;
    servers.ended(choice.server.id, exchange.weight, failed ? ServerOutcome::Failed : ServerOutcome::Served,
                  Clock::now());
    ++exchange.ran;
    if (failed) {
        exchange.obstacle = "a server answered with a failure";
        LogLine(LogLevel::Info, "server_failed")
            .add("request", exchange.caller.attemptId)
            .add("server", choice.server.id.value())
            .add("status", head.status)
            .add("sent", exchange.sent);
    }
    if (failed && maySendAgain(exchange)) {
        exchange.excluded.insert(choice.server.id);
        exchange.failure = std::move(head);
        co_return Step::Again;
    }
    exchange.outcome = failed ? RequestOutcome::ServerFailed : RequestOutcome::Answered;
    exchange.reason = failed ? "server_error" : "";
    (void)co_await exchange.responder.send(std::move(head));
    co_return Step::Finished;
}

asio::awaitable<RequestRelay::Step> RequestRelay::relayStream(Exchange &exchange, const ServerDirectory::Choice &choice,
                                                              std::unique_ptr<HttpConnection> connection,
                                                              HttpResponse head)
{
    auto &servers = m_parts.view.servers();
    const auto &route = *exchange.route;
    const bool mayMove = route.repeatable() && exchange.ran + 1 < route.maxServers;
    for (;;) {
        auto patience = std::max(exchange.left(Clock::now()), milliseconds(1));
        if (mayMove && route.eventGapGoal > milliseconds(0)) {
            patience = std::min(patience, exchange.streaming ? route.eventGapGoal * 2 : route.goal * 3 / 2);
        }
        auto piece = co_await connection->readPiece(patience);
        if (exchange.watched.gone()) {
            servers.ended(choice.server.id, exchange.weight, ServerOutcome::Unrelated, Clock::now());
            co_return Step::Finished;
        }
        if (piece.has_error()) {
            exchange.events.discardRest();
            const bool silent = piece.error().code == HttpErrorCode::TimedOut;
            co_return broken(exchange, choice, silent ? ServerOutcome::Silent : ServerOutcome::Broken,
                             piece.error().detail);
        }
        const bool ended = !piece.value();
        auto events = ended ? exchange.events.rest() : exchange.events.take(*piece.value());
        if (events.empty() && !ended) {
            continue;
        }
        ++exchange.eventCount;
        exchange.lastProgress = Clock::now();
        if (!exchange.streaming) {
            exchange.streaming = true;
            exchange.firstEvent = exchange.lastProgress;
            const auto started = co_await exchange.responder.beginStream(head);
            if (started.has_error()) {
                servers.ended(choice.server.id, exchange.weight, ServerOutcome::Unrelated, Clock::now());
                co_return Step::Finished;
            }
        }
        if (!events.empty()) {
            const auto passed = co_await exchange.responder.writePiece(events);
            if (passed.has_error()) {
                servers.ended(choice.server.id, exchange.weight, ServerOutcome::Unrelated, Clock::now());
                co_return Step::Finished;
            }
        }
        if (ended) {
            break;
        }
    }
    exchange.watched.connection = nullptr;
    m_parts.connections.release(choice.server, std::move(connection));
    servers.ended(choice.server.id, exchange.weight, ServerOutcome::Served, Clock::now());
    exchange.outcome = RequestOutcome::Answered;
    (void)co_await exchange.responder.endStream();
    co_return Step::Finished;
}

} // namespace tamarackcove
