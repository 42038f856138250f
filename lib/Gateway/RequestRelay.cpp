#include "tamarackcove/Gateway/RequestRelay.h"

#include "RequestExchange.h"
#include "tamarackcove/Fleet/RouteTable.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Gateway/RequestSuspects.h"
#include "tamarackcove/Gateway/ServerConnections.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

/// Longest wait of a request for its adapter. A load takes about 250 ms, and a caller whose request is refused early
/// can send it again in time.
static constexpr milliseconds MaxAdapterWait{1500};
/// Replaces MaxAdapterWait while the leader of the control hosts, which alone can order a load, is not connected. A
/// request that is refused soon can be sent again elsewhere, but a stream that has begun would be cut.
static constexpr milliseconds MaxAdapterWaitWithoutLeader{400};
/// Longest interval between two checks of a waiting request for a server.
static constexpr milliseconds WaitRecheckInterval{100};
/// Longest wait of a request for the first configuration, which arrives within this time after all processes have been
/// restarted. A request that is refused before the configuration has arrived is lost for most callers, and the goals of
/// routes allow for the wait.
static constexpr milliseconds MaxConfigurationWait{600};
static constexpr milliseconds WriteTimeout{1000};
/// One in this many requests has all its steps logged. Logging all requests would write several MB/s at the planned
/// size.
static constexpr std::uint64_t SampleInterval = 64;

RequestRelay::RequestRelay(Parts parts)
    : m_parts(parts)
    , m_random(std::random_device()())
    , m_answerBudget(parts.maxAnswerBytes)
{
}

asio::awaitable<void> RequestRelay::serve(const HttpRequest &request, HttpResponder &responder)
{
    Exchange exchange(request, responder, m_parts.watch, m_stop);
    exchange.arrivedAt = Clock::now();
    exchange.sampled = m_requestCount++ % SampleInterval == 0;
    exchange.caller = m_parts.dialect.readRequest(request);
    exchange.suspects = crashSuspectsOf(request, exchange.caller);
    if (!m_parts.view.routes()) {
        co_await awaitConfiguration(exchange);
    }
    exchange.routes = m_parts.view.routes();
    if (!exchange.routes) {
        co_await refuse(exchange, EntryRefusal::NotReady, Exchange::RefusalRetryAfter);
        recordEnd(exchange);
        co_return;
    }
    exchange.route = exchange.routes->find(request.headers.find("host").value_or(""), request.path());
    if (exchange.route == nullptr) {
        co_await refuse(exchange, EntryRefusal::NoRoute, milliseconds(0));
        recordEnd(exchange);
        co_return;
    }
    if (!co_await admit(exchange)) {
        recordEnd(exchange);
        co_return;
    }
    const auto &route = *exchange.route;
    std::uniform_real_distribution<double> draw(0, 1);
    exchange.service = RouteTable::chooseService(route, draw(m_random));
    exchange.deadline = exchange.arrivedAt
        + std::min(route.timeout, exchange.caller.callerTimeout.value_or(route.timeout)) - Exchange::AnswerMargin;
    estimateCost(exchange);
    m_parts.view.retryBudget(exchange.service).noteRequest(exchange.arrivedAt);
    logRouted(exchange);
    if (co_await awaitAdmission(exchange)) {
        co_await tryServers(exchange);
    }
    endSilentAttempt(exchange);
    returnAllowance(exchange);
    recordServiceTime(exchange);
    for (auto &[server, connection] : exchange.refusedConnections) {
        m_parts.connections.release(server, std::move(connection));
    }
    recordEnd(exchange);
}

void RequestRelay::beginStop(const PlannedStop &stop)
{
    m_stop = stop;
}

void RequestRelay::endRequests()
{
    m_parts.watch.interruptRequests();
}

asio::awaitable<void> RequestRelay::awaitConfiguration(Exchange &exchange)
{
    Timer timer(co_await asio::this_coro::executor);
    exchange.watched.timer = &timer;
    const auto maxWait = std::min(MaxConfigurationWait, exchange.caller.callerTimeout.value_or(MaxConfigurationWait));
    co_await m_parts.view.waitForConfiguration(exchange.arrivedAt + maxWait, timer);
    exchange.watched.timer = nullptr;
}

asio::awaitable<void> RequestRelay::tryServers(Exchange &exchange)
{
    while (!exchange.watched.isCallerGone()) {
        // Also checked before each further attempt: the suspect may have been quarantined meanwhile.
        if (const auto *suspect = quarantinedSuspect(exchange); suspect != nullptr && !exchange.silentAttempt) {
            exchange.quarantinedSuspect = *suspect;
            exchange.failureDetail = "the request or a part of its prompt crashes servers";
            break;
        }
        auto step = co_await tryNextServer(exchange);
        if (exchange.silentAttempt && step != Step::Silent && step != Step::Finished) {
            step = co_await returnToSilentServer(exchange);
        }
        if (step == Step::Finished) {
            co_return;
        }
        if (step == Step::NoServer || (step == Step::MayHaveRun && !maySendAgain(exchange))
            || (step == Step::NotRun && exchange.serverRefusals >= Exchange::MaxRefusals)) {
            break;
        }
    }
    co_await answerUnservedRequest(exchange);
}

asio::awaitable<RequestRelay::Step> RequestRelay::tryNextServer(Exchange &exchange)
{
    if (exchange.sendCount > 0 && !takeRetry(exchange)) {
        exchange.failureDetail = "the retry budget is used up";
        LogLine(LogLevel::Info, "retry_refused")
            .add("request", exchange.caller.attemptId)
            .add("service", exchange.service.value())
            .add("sent", exchange.sendCount)
            .add("budget_left", m_parts.view.retryBudget(exchange.service).remaining(Clock::now()))
            .add("reason", exchange.failureDetail);
        co_return Step::NoServer;
    }
    auto choice = co_await awaitServer(exchange);
    if (!choice) {
        co_return Step::NoServer;
    }
    const auto step = co_await attempt(exchange, std::move(*choice));
    if (step == Step::NotRun) {
        ++exchange.serverRefusals;
    }
    co_return step;
}

const CrashSuspect *RequestRelay::quarantinedSuspect(const Exchange &exchange) const
{
    auto &suspects = m_parts.view.crashSuspects();
    suspects.decideWithoutLeader(m_parts.leaderConnected(), Clock::now());
    return suspects.findQuarantined(exchange.suspects);
}

bool RequestRelay::takeRetry(Exchange &exchange)
{
    if (exchange.retryGranted) {
        return true;
    }
    const bool granted = m_parts.view.retryBudget(exchange.service).takeRetry(Clock::now());
    m_parts.metrics.count(Metrics::labelled(
        "retries_total", {{"service", exchange.service.value()}, {"result", granted ? "granted" : "refused"}}));
    exchange.retryGranted = granted;
    return granted;
}

bool RequestRelay::maySendAgain(const Exchange &exchange) const
{
    return exchange.route->repeatable() && exchange.possibleRuns < exchange.route->maxServers
        && exchange.remainingTime(Clock::now()) > Exchange::AnswerMargin;
}

bool RequestRelay::refusedByStop(const Exchange &exchange) const
{
    const bool mayHaveRun = exchange.possibleRuns > 0 || exchange.silentAttempt;
    return m_stop && !mayHaveRun && !m_stop->mayPassOn(exchange.deadline);
}

asio::awaitable<std::optional<ServerDirectory::Choice>> RequestRelay::awaitServer(Exchange &exchange)
{
    auto &view = m_parts.view;
    auto requirements = requirementsOf(exchange);
    if (exchange.silentAttempt) {
        requirements.excluded.insert(exchange.silentAttempt->choice.server.id);
    }
    const auto startTime = Clock::now();
    const auto maxWaitDeadline = std::min(exchange.deadline - Exchange::AnswerMargin, startTime + MaxAdapterWait);
    Timer timer(co_await asio::this_coro::executor);
    bool waited = false;
    const auto recordWait = [&](std::string_view result, TimePoint now) {
        if (waited) {
            exchange.adapterWait += now - startTime;
            logAdapterWait(exchange, now - startTime, result);
        }
    };
    for (;;) {
        const auto now = Clock::now();
        if (refusedByStop(exchange)) {
            exchange.failureDetail = "this entry is being stopped";
            recordWait("stopping", now);
            co_return std::nullopt;
        }
        const bool leaderConnected = m_parts.leaderConnected();
        const auto waitDeadline = leaderConnected || exchange.streamStarted
            ? maxWaitDeadline
            : std::min(maxWaitDeadline, startTime + MaxAdapterWaitWithoutLeader);
        if (exchange.watched.isCallerGone() || now >= waitDeadline) {
            exchange.failureDetail = now + Exchange::AnswerMargin >= exchange.deadline ? "too little time is left"
                : leaderConnected ? "the adapter was not loaded in time"
                                  : "no control host that leads is connected";
            recordWait(exchange.watched.isCallerGone() ? "caller_gone" : "gave_up", now);
            co_return std::nullopt;
        }
        if (quarantinedSuspect(exchange) != nullptr) {
            recordWait("quarantined", now);
            co_return std::nullopt;
        }
        if (requirements.adapter) {
            requirements.minVersion = view.requiredVersion(*requirements.adapter, now);
        }
        const auto choice = view.servers().choose(requirements, now);
        if (choice && choice->readyAt <= now) {
            recordWait("ready", now);
            if (requirements.adapter && !waited) {
                m_parts.metrics.count("adapter_hits_total");
            }
            co_return choice;
        }
        if (!view.servers().fitsIntoMemory(exchange.service, requirements.memoryTokens)) {
            exchange.failureDetail = "the request needs more memory than a server has";
            recordWait("no_server", now);
            co_return std::nullopt;
        }
        if (!requirements.adapter || !view.servers().offers(exchange.service, requirements.model)) {
            exchange.failureDetail = view.servers().earliestReturn(requirements, now)
                ? "all servers have asked for no requests for now"
                : "no other server offers the service and model";
            recordWait("no_server", now);
            co_return std::nullopt;
        }
        if (exchange.silentAttempt) {
            exchange.failureDetail = "no other server can take the request over";
            co_return std::nullopt;
        }
        if (!std::exchange(waited, true)) {
            m_parts.metrics.count(
                Metrics::labelled("adapter_misses_total", {{"state", choice ? "loading" : "not_held"}}));
        }
        auto until = std::min(waitDeadline, now + WaitRecheckInterval);
        if (choice) {
            until = std::min(until, choice->readyAt);
        }
        FleetView::Wait wait{.adapter = *requirements.adapter,
                             .version = view.latestVersion(*requirements.adapter),
                             .requestsLoad = !choice,
                             .failedServers = static_cast<int>(exchange.excludedServers.size())
                                 + view.servers().pausedHolders(requirements, now),
                             .until = until};
        exchange.watched.timer = &timer;
        co_await view.waitForAdapter(std::move(wait), timer);
        exchange.watched.timer = nullptr;
    }
}

asio::awaitable<RequestRelay::Step> RequestRelay::attempt(Exchange &exchange, ServerDirectory::Choice choice)
{
    auto &servers = m_parts.view.servers();
    const auto &route = *exchange.route;
    auto acquired = co_await m_parts.connections.acquire(choice.server, choice.endpoint, route.repeatable());
    if (acquired.has_error()) {
        servers.startRequest(choice.server.id, exchange.weight);
        servers.endRequest(choice.server.id, exchange.weight, ServerOutcome::Broken, Clock::now());
        LogLine(LogLevel::Info, "server_unreachable")
            .add("request", exchange.caller.attemptId)
            .add("server", choice.server.id.value())
            .add("reason", acquired.error().detail);
        exchange.excludedServers.insert(choice.server.id);
        exchange.failureDetail = "the server cannot be reached";
        co_return Step::NotRun;
    }
    auto connection = std::move(acquired).value();
    if (exchange.silentAttempt && exchange.silentAttempt->connection->hasUnreadBytes()) {
        m_parts.connections.release(choice.server, std::move(connection));
        exchange.failureDetail = "the silent server has gone on";
        co_return Step::NoServer;
    }
    if (exchange.watched.isCallerGone()) {
        m_parts.connections.release(choice.server, std::move(connection));
        co_return Step::Finished;
    }
    if (refusedByStop(exchange)) {
        exchange.failureDetail = "this entry is being stopped";
        m_parts.connections.release(choice.server, std::move(connection));
        co_return Step::NoServer;
    }
    const auto startTime = Clock::now();
    Dispatch dispatch;
    dispatch.server = choice.server;
    dispatch.timeLeft = exchange.remainingTime(startTime);
    dispatch.withholdCredentials = !exchange.routes->workspaces().empty();
    if (exchange.workspace != nullptr) {
        dispatch.workspace = exchange.workspace->name;
    }
    if (exchange.caller.adapter) {
        const auto required = m_parts.view.requiredVersion(*exchange.caller.adapter, startTime);
        if (required > 0) {
            dispatch.minVersion = required;
        }
    }
    dispatch.urgency = urgencyOf(exchange, startTime);
    auto attempt = std::make_unique<Attempt>(std::move(choice), std::move(connection), m_answerBudget);
    attempt->sentAt = attempt->progressAt = startTime;
    attempt->sentAgain = exchange.possibleRuns > 0 || exchange.silentAttempt != nullptr;
    if (exchange.caller.adapter) {
        attempt->adapterUse.emplace(m_parts.view, attempt->choice.server.id, *exchange.caller.adapter);
    }
    if (exchange.cost.memoryTokens() > 0) {
        attempt->memoryReservation.emplace(servers, attempt->choice.server.id, exchange.cost.memoryTokens());
    }
    if (exchange.streamStarted) {
        dispatch.lastEventId = exchange.splitter.lastId();
    }
    auto request = m_parts.dialect.serverRequest(exchange.request, dispatch);
    ++exchange.sendCount;
    exchange.retryGranted = false;
    exchange.lastServer = attempt->choice.server.id;
    logSent(exchange, attempt->choice, dispatch.timeLeft);
    exchange.lastProgressAt = exchange.sentAt = startTime;
    servers.startRequest(attempt->choice.server.id, exchange.weight);
    exchange.watched.connection = attempt->connection.get();
    const auto written
        = co_await attempt->connection->writeRequest(std::move(request), exchange.request.body, WriteTimeout);
    if (written.has_error()) {
        exchange.watched.connection = nullptr;
        if (attempt->connection->requestBytesWritten() > 0) {
            recordUnanswered(exchange, *attempt, written.error());
            co_return recordLostAnswer(exchange, attempt->choice, ServerOutcome::Broken, written.error().detail);
        }
        servers.endRequest(attempt->choice.server.id, exchange.weight, ServerOutcome::Broken, Clock::now());
        exchange.excludedServers.insert(attempt->choice.server.id);
        co_return Step::NotRun;
    }
    co_return co_await awaitAnswer(exchange, std::move(attempt));
}

asio::awaitable<RequestRelay::Step> RequestRelay::awaitAnswer(Exchange &exchange, std::unique_ptr<Attempt> attempt)
{
    const auto &choice = attempt->choice;
    exchange.watched.connection = attempt->connection.get();
    auto head = co_await awaitHead(exchange, *attempt);
    if (exchange.watched.isCallerGone()) {
        exchange.watched.connection = nullptr;
        if (head.has_error()) {
            recordUnanswered(exchange, *attempt, head.error());
        }
        m_parts.view.servers().endRequest(choice.server.id, exchange.weight, ServerOutcome::Unrelated, Clock::now());
        co_return Step::Finished;
    }
    if (head.has_error()) {
        exchange.watched.connection = nullptr;
        if (takeoverDue(exchange, head.error())) {
            co_return keepSilentAttempt(exchange, std::move(attempt));
        }
        // A server that was given less time than a silent one may be sound.
        const auto outcome = head.error().code != HttpErrorCode::TimedOut ? ServerOutcome::Broken
            : exchange.silentAttempt                                      ? ServerOutcome::Unrelated
                                                                          : ServerOutcome::NoAnswer;
        recordUnanswered(exchange, *attempt, head.error());
        co_return recordLostAnswer(exchange, choice, outcome, head.error().detail);
    }
    attempt->connection->setSilenceHook({});
    const auto step = co_await relayAnswer(exchange, std::move(attempt), std::move(head).value());
    exchange.watched.connection = nullptr;
    co_return step;
}

bool RequestRelay::answersGivenUp(TimePoint now) const
{
    return m_stop && now >= m_stop->answersDueAt();
}

void RequestRelay::recordUnanswered(const Exchange &exchange, const Attempt &attempt, const HttpError &error)
{
    const auto now = Clock::now();
    const auto &server = attempt.choice.server;
    // A server that leaves ends in the middle of what it still runs.
    if (answersGivenUp(now) || (attempt.streamBegun && m_parts.view.servers().isDeparting(server))) {
        return;
    }
    auto &watch = m_parts.view.crashSuspects();
    // The connection of a caller that has left was closed by this entry. A server that breaks off an answer may go on,
    // and has crashed only if it has ended as well.
    const bool lost = error.code == HttpErrorCode::Closed || error.code == HttpErrorCode::TimedOut;
    const bool closed = error.code == HttpErrorCode::Closed && !exchange.watched.isCallerGone() && !attempt.answerBegun;
    const bool begun = attempt.answerBegun || attempt.streamBegun;
    const bool silent = !closed && (lost || exchange.watched.isCallerGone());
    if (closed) {
        watch.recordCrash(server, exchange.suspects, attempt.sentAt, now, attempt.sentAgain, begun);
    } else if (silent) {
        watch.recordSilence(server, attempt.choice.endpoint, exchange.suspects, attempt.sentAt, now, attempt.sentAgain,
                            begun);
    }
    LogLine(LogLevel::Info, "request_unanswered")
        .add("request", exchange.caller.attemptId)
        .add("server", server.id.value())
        .add("started_at", server.startedAt.value())
        .add("evidence",
             closed       ? "closed"
                 : silent ? "silent"
                          : "none")
        .add("begun", begun ? "yes" : "no")
        .add("suspects", static_cast<std::uint64_t>(exchange.suspects.size()))
        .add("suspect", exchange.suspects.empty() ? std::string_view() : exchange.suspects.back().value())
        .add("after_ms", duration_cast<milliseconds>(now - attempt.sentAt));
}

RequestRelay::Step RequestRelay::recordLostAnswer(Exchange &exchange, const ServerDirectory::Choice &choice,
                                                  ServerOutcome outcome, std::string_view reason)
{
    const auto now = Clock::now();
    const bool silent = outcome == ServerOutcome::NoAnswer || outcome == ServerOutcome::Unrelated;
    const bool stopped = answersGivenUp(now);
    m_parts.view.servers().endRequest(choice.server.id, exchange.weight,
                                      exchange.watched.isCallerGone() || stopped ? ServerOutcome::Unrelated : outcome,
                                      now);
    if (exchange.watched.isCallerGone()) {
        return Step::Finished;
    }
    ++exchange.possibleRuns;
    exchange.excludedServers.insert(choice.server.id);
    exchange.failureDetail = "the answer of a server was lost";
    m_parts.metrics.count(Metrics::labelled(
        "server_answers_lost_total", {{"service", exchange.service.value()}, {"how", silent ? "silent" : "broken"}}));
    LogLine(LogLevel::Info, "server_answer_lost")
        .add("request", exchange.caller.attemptId)
        .add("route", exchange.route->name)
        .add("server", choice.server.id.value())
        .add("zone", choice.zone.value())
        .add("sent", exchange.sendCount)
        .add("streaming", exchange.streamStarted ? "yes" : "no")
        .add("events", exchange.eventCount)
        .add("quiet_ms", duration_cast<milliseconds>(now - exchange.lastProgressAt))
        .add("patience_ms", exchange.caller.callerTimeout.value_or(milliseconds(-1)))
        .add("after_ms", duration_cast<milliseconds>(now - exchange.arrivedAt))
        .add("left_ms", exchange.remainingTime(now))
        .add("reason", reason);
    return Step::MayHaveRun;
}

} // namespace tamarackcove
