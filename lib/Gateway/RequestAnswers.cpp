#include "RequestExchange.h"
#include "tamarackcove/Gateway/AnswerBudget.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Gateway/ServerConnections.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace asio = boost::asio;

namespace tamarackcove {

/// Delay before a request is sent again to a server that refused it because it is still loading the adapter; the delay
/// grows with the number of refusals of the request.
static constexpr milliseconds LoadingRetryDelay{35};
/// A refusal less than this time after the expected end of an adapter load means that the load is still in progress.
static constexpr milliseconds MaxLoadOverrun{1500};
/// Time limit for reading the short body of a refusal, which is read so that the connection can be reused.
static constexpr milliseconds RefusalTimeout{100};
/// Limit on the body of a refusal that is read for this purpose.
static constexpr std::size_t MaxRefusalBytes = 64 * 1024;
/// Limit on one event of a stream, which has one token or the figures at its end.
static constexpr std::size_t MaxEventBytes = 256 * 1024;
/// Reason of an answer that is given up although its bytes still arrive.
static constexpr std::string_view NotEnded = "the answer has not ended at the deadline of the request";

asio::awaitable<RequestRelay::Step> RequestRelay::relayAnswer(Exchange &exchange, std::unique_ptr<Attempt> attempt,
                                                              HttpResponse head)
{
    auto answer = m_parts.dialect.readAnswer(exchange.caller, head);
    const auto &choice = attempt->choice;
    applyServerStatements(exchange, choice, answer);
    if (answer.notRun) {
        co_return co_await handleNotRun(exchange, std::move(attempt), std::move(answer));
    }
    if (!answer.authentic) {
        co_return recordLostAnswer(exchange, choice, ServerOutcome::Broken,
                                   "the answer does not belong to this request");
    }
    if (answer.eventStream && head.status == 200) {
        exchange.splitter.discardIncompleteEvent();
        exchange.splitter.beginRun();
        attempt->streamHead = std::move(head);
        attempt->progressAt = Clock::now();
        co_return co_await relayStream(exchange, std::move(attempt));
    }
    if (exchange.streamStarted) {
        co_return recordLostAnswer(exchange, choice, ServerOutcome::Failed, "the server did not resume the stream");
    }
    co_return co_await relayCompleteAnswer(exchange, std::move(attempt), std::move(head));
}

static bool answeredByOtherServer(const ServerDirectory::Choice &choice, const ServerAnswer &answer)
{
    return answer.wrongServer && !answer.server.empty() && answer.server != choice.server.id;
}

void RequestRelay::applyServerStatements(const Exchange &exchange, const ServerDirectory::Choice &choice,
                                         const ServerAnswer &answer)
{
    if (answeredByOtherServer(choice, answer)) {
        return;
    }
    auto &servers = m_parts.view.servers();
    const auto now = Clock::now();
    if (answer.leaving && servers.recordLeaving(choice.server, now)) {
        m_parts.metrics.count("servers_leaving_total");
        LogLine(LogLevel::Info, "server_leaving")
            .add("request", exchange.caller.attemptId)
            .add("server", choice.server.id.value())
            .add("started_at", choice.server.startedAt.value())
            .add("zone", choice.zone.value());
    }
    if (answer.retryAfter) {
        const auto pause = servers.pause(choice.server, *answer.retryAfter, now);
        m_parts.metrics.count("server_pauses_total");
        LogLine(LogLevel::Info, "server_paused")
            .add("request", exchange.caller.attemptId)
            .add("server", choice.server.id.value())
            .add("asked_ms", *answer.retryAfter)
            .add("paused_ms", pause);
    }
}

asio::awaitable<RequestRelay::Step> RequestRelay::handleNotRun(Exchange &exchange, std::unique_ptr<Attempt> attempt,
                                                               ServerAnswer answer)
{
    const auto &choice = attempt->choice;
    const auto now = Clock::now();
    auto &servers = m_parts.view.servers();
    const auto &adapter = exchange.caller.adapter;
    const bool isOtherServer = answeredByOtherServer(choice, answer);
    // The server counts as still loading the adapter if the expected end of the load is recent, or if the server
    // refuses requests while it replaces an older version of the adapter.
    // A server refuses with the same status when it is full, which must not count as a slow store.
    const bool full = !answer.wrongServer && servers.slotsInUse(choice.server.id);
    const bool loading = adapter && !isOtherServer && !full
        && (choice.expectedAt + MaxLoadOverrun > now
            || (!answer.wrongServer && choice.version < m_parts.view.latestVersion(*adapter)));
    servers.endRequest(choice.server.id, exchange.weight,
                       loading                  ? ServerOutcome::Unrelated
                           : answer.wrongServer ? ServerOutcome::WrongServer
                                                : ServerOutcome::Full,
                       now);
    if (loading) {
        if (choice.expectedAt + MaxLoadOverrun > now) {
            m_parts.view.recordOverdueLoad(choice.server.id, *adapter,
                                           duration_cast<milliseconds>(now - choice.expectedAt));
        }
        servers.postpone(choice.server.id, *adapter, now + LoadingRetryDelay * (1 + exchange.serverRefusals));
    } else if (adapter && answer.wrongServer && !isOtherServer) {
        servers.setHolding(choice.server.id, *adapter, 0, now);
        m_parts.view.recordMissingAdapter(choice.server.id, *adapter);
    } else {
        exchange.excludedServers.insert(choice.server.id);
    }
    const std::string_view reason = loading ? "loading" : answer.wrongServer ? "not_held" : "full";
    exchange.failureDetail = loading ? "the server was still loading the adapter" : "the server refused the request";
    m_parts.metrics.count(
        Metrics::labelled("server_refusals_total", {{"service", exchange.service.value()}, {"reason", reason}}));
    LogLine(LogLevel::Info, "server_refused")
        .add("request", exchange.caller.attemptId)
        .add("server", choice.server.id.value())
        .add("adapter", adapter ? std::string_view(adapter->adapter) : std::string_view())
        .add("version", choice.version)
        .add("reason", reason)
        .add("sent", exchange.sendCount);
    co_await readRefusalBody(exchange, choice, *attempt->connection);
    exchange.watched.connection = nullptr;
    if (exchange.excludedServers.contains(choice.server.id)) {
        m_parts.connections.release(choice.server, std::move(attempt->connection));
    } else {
        exchange.refusedConnections.emplace_back(choice.server, std::move(attempt->connection));
    }
    co_return Step::NotRun;
}

asio::awaitable<void> RequestRelay::readRefusalBody(const Exchange &exchange, const ServerDirectory::Choice &choice,
                                                    HttpConnection &connection)
{
    const auto endTime = Clock::now() + RefusalTimeout;
    std::size_t bytes = 0;
    std::string reason;
    while (reason.empty()) {
        const auto left = std::chrono::ceil<milliseconds>(endTime - Clock::now());
        if (left <= milliseconds(0)) {
            reason = "the body has not ended after " + std::to_string(RefusalTimeout.count()) + " ms";
            break;
        }
        const auto piece = co_await connection.readPiece(left);
        if (piece.has_error()) {
            reason = piece.error().detail;
        } else if (!piece.value()) {
            co_return;
        } else {
            bytes += piece.value()->size();
            if (bytes > MaxRefusalBytes) {
                reason = "body of more than " + std::to_string(MaxRefusalBytes) + " bytes";
            }
        }
    }
    LogLine(LogLevel::Info, "refusal_body_unread")
        .add("request", exchange.caller.attemptId)
        .add("server", choice.server.id.value())
        .add("bytes", static_cast<std::uint64_t>(bytes))
        .add("reason", reason);
}

asio::awaitable<RequestRelay::Step>
RequestRelay::relayCompleteAnswer(Exchange &exchange, std::unique_ptr<Attempt> attempt, HttpResponse head)
{
    const auto &choice = attempt->choice;
    auto &servers = m_parts.view.servers();
    auto buffer = std::make_unique<AnswerBuffer>(m_answerBudget);
    attempt->answerBegun = true;
    m_parts.view.crashSuspects().recordAnswered(choice.server, {}, Clock::now());
    for (;;) {
        const auto timeout = exchange.answerReadTimeout(Clock::now());
        if (!timeout) {
            co_return recordLostAnswer(exchange, choice, ServerOutcome::Broken, NotEnded);
        }
        const auto piece = co_await attempt->connection->readPiece(*timeout);
        if (piece.has_error()) {
            recordUnanswered(exchange, *attempt, piece.error());
            co_return recordLostAnswer(exchange, choice, ServerOutcome::Broken, piece.error().detail);
        }
        if (!piece.value()) {
            break;
        }
        if (!buffer->add(piece.value()->size())) {
            const auto reason = "the body exceeds " + std::to_string(AnswerBuffer::MaxAnswerBytes) + " bytes, or "
                + std::to_string(m_answerBudget.maxTotalBytes()) + " bytes with the other answers; read "
                + std::to_string(buffer->size());
            co_return recordLostAnswer(exchange, choice, ServerOutcome::Broken, reason);
        }
        head.body += *piece.value();
    }
    // Not before: the server may crash in the middle of its answer.
    m_parts.view.crashSuspects().recordAnswered(choice.server, exchange.suspects, Clock::now(),
                                                AnswerProgress::Complete);
    exchange.watched.connection = nullptr;
    m_parts.connections.release(choice.server, std::move(attempt->connection));
    const bool failed = head.status >= 500;
    const auto now = Clock::now();
    constexpr int FirstErrorStatus = 400;
    if (head.status < FirstErrorStatus) {
        // An error may come much sooner than other answers, and says nothing of the usual time.
        recordAnswerTime(*attempt, now);
    }
    servers.endRequest(choice.server.id, exchange.weight, failed ? ServerOutcome::Failed : ServerOutcome::Served, now);
    ++exchange.possibleRuns;
    if (failed) {
        exchange.failureDetail = "a server answered with a 5xx status";
        LogLine(LogLevel::Info, "server_failed")
            .add("request", exchange.caller.attemptId)
            .add("server", choice.server.id.value())
            .add("status", head.status)
            .add("sent", exchange.sendCount);
    }
    if (failed && (exchange.silentAttempt || maySendAgain(exchange))) {
        exchange.excludedServers.insert(choice.server.id);
        exchange.failureResponse = std::move(head);
        exchange.failureBuffer = std::move(buffer);
        co_return Step::MayHaveRun;
    }
    endSilentAttempt(exchange);
    exchange.outcome = failed ? RequestOutcome::ServerFailed : RequestOutcome::Answered;
    exchange.failureReason = failed ? "server_error" : "";
    // From here on the connection of the caller counts what the caller has not read.
    buffer.reset();
    (void)co_await exchange.responder.send(std::move(head));
    co_return Step::Finished;
}

asio::awaitable<RequestRelay::Step> RequestRelay::relayStream(Exchange &exchange, std::unique_ptr<Attempt> attempt)
{
    const auto &choice = attempt->choice;
    auto &connection = *attempt->connection;
    exchange.watched.connection = &connection;
    auto &servers = m_parts.view.servers();
    const auto &route = *exchange.route;
    const bool canBeTakenOver = mayBeTakenOver(exchange) && !exchange.silentAttempt;
    if (canBeTakenOver) {
        setTakeoverHook(exchange, *attempt);
    } else {
        connection.setSilenceHook({});
    }
    for (;;) {
        const auto timeout = exchange.answerReadTimeout(Clock::now());
        if (!timeout) {
            exchange.splitter.discardIncompleteEvent();
            co_return recordLostAnswer(exchange, choice, ServerOutcome::Broken, NotEnded);
        }
        auto readTimeout = *timeout;
        if (canBeTakenOver && route.eventGapGoal > milliseconds(0)) {
            // Bytes that complete no event are no progress: a server may stall and still send one now and then.
            const auto left = duration_cast<milliseconds>(attempt->progressAt + maxSilence(exchange) - Clock::now());
            readTimeout = std::min(readTimeout, std::max(left, milliseconds(1)));
        }
        if (exchange.silentAttempt) {
            readTimeout = std::min(readTimeout, overlapLeft(*attempt));
        }
        auto piece = co_await connection.readPiece(readTimeout);
        if (exchange.watched.isCallerGone()) {
            if (piece.has_error()) {
                recordUnanswered(exchange, *attempt, piece.error());
            }
            servers.endRequest(choice.server.id, exchange.weight, ServerOutcome::Unrelated, Clock::now());
            co_return Step::Finished;
        }
        if (piece.has_error() && takeoverDue(exchange, piece.error())) {
            exchange.watched.connection = nullptr;
            co_return keepSilentAttempt(exchange, std::move(attempt));
        }
        if (piece.has_error() && exchange.silentAttempt && piece.error().code == HttpErrorCode::TimedOut
            && exchange.remainingTime(Clock::now()) > Exchange::AnswerMargin) {
            if (returnsToSilentServer(exchange)) {
                co_return recordLostAnswer(exchange, choice, ServerOutcome::Unrelated, "the silent server has gone on");
            }
            continue;
        }
        if (piece.has_error()) {
            exchange.splitter.discardIncompleteEvent();
            const bool timedOut = piece.error().code == HttpErrorCode::TimedOut;
            recordUnanswered(exchange, *attempt, piece.error());
            co_return recordLostAnswer(exchange, choice, timedOut ? ServerOutcome::NoAnswer : ServerOutcome::Broken,
                                       piece.error().detail);
        }
        const bool ended = !piece.value();
        if (ended && !exchange.splitter.incompleteEvent().empty()) {
            exchange.splitter.discardIncompleteEvent();
            // The stream may have no length, and end with its server.
            recordUnanswered(exchange, *attempt, HttpError{HttpErrorCode::TimedOut, {}});
            co_return recordLostAnswer(exchange, choice, ServerOutcome::Broken, "the stream ended inside an event");
        }
        auto events = ended ? std::string() : exchange.splitter.consume(*piece.value());
        if (exchange.splitter.repeatsEvents()) {
            exchange.splitter.discardIncompleteEvent();
            co_return recordLostAnswer(exchange, choice, ServerOutcome::Broken,
                                       "the server did not resume the stream after the last event");
        }
        const auto unsentBytes = exchange.splitter.incompleteEvent().size();
        if (unsentBytes > MaxEventBytes || !attempt->eventBuffer.resize(unsentBytes)) {
            exchange.splitter.discardIncompleteEvent();
            co_return recordLostAnswer(exchange, choice, ServerOutcome::Broken,
                                       "event of more than " + std::to_string(MaxEventBytes)
                                           + " bytes, or no memory is left for it; read "
                                           + std::to_string(unsentBytes));
        }
        if (events.empty() && !ended) {
            continue;
        }
        // Only now the other server is sure to have taken the stream over.
        giveUpSilentAttempt(exchange, "another server has taken the request over");
        ++exchange.eventCount;
        attempt->progressAt = exchange.lastProgressAt = Clock::now();
        if (!std::exchange(attempt->streamBegun, true)) {
            m_parts.view.crashSuspects().recordAnswered(choice.server, exchange.suspects, exchange.lastProgressAt,
                                                        AnswerProgress::Begun);
        }
        if (!exchange.streamStarted) {
            exchange.streamStarted = true;
            exchange.tokensInFirstBlock = tokensGenerated(exchange);
            exchange.firstEventAt = exchange.lastProgressAt;
            servers.recordFirstAnswer(choice.server.id, exchange.lastProgressAt - attempt->sentAt,
                                      exchange.lastProgressAt);
            const auto started = co_await exchange.responder.beginStream(*attempt->streamHead);
            if (started.has_error()) {
                servers.endRequest(choice.server.id, exchange.weight, ServerOutcome::Unrelated, Clock::now());
                co_return Step::Finished;
            }
        }
        recordEventTime(exchange, *attempt);
        if (!events.empty()) {
            const auto relayed = co_await exchange.responder.writePiece(events);
            if (relayed.has_error()) {
                servers.endRequest(choice.server.id, exchange.weight, ServerOutcome::Unrelated, Clock::now());
                co_return Step::Finished;
            }
        }
        if (ended) {
            break;
        }
    }
    exchange.watched.connection = nullptr;
    connection.setSilenceHook({});
    m_parts.connections.release(choice.server, std::move(attempt->connection));
    const auto now = Clock::now();
    m_parts.view.crashSuspects().recordAnswered(choice.server, exchange.suspects, now, AnswerProgress::Complete);
    servers.recordDuration(choice.server.id, now - attempt->sentAt);
    recordCost(exchange);
    servers.endRequest(choice.server.id, exchange.weight, ServerOutcome::Served, now);
    exchange.outcome = RequestOutcome::Answered;
    (void)co_await exchange.responder.endStream();
    co_return Step::Finished;
}

} // namespace tamarackcove
