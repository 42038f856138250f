#include "tamarackcove/Gateway/RequestRelay.h"

#include "RequestExchange.h"
#include "tamarackcove/Fleet/RouteTable.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Gateway/ServerConnections.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

/// Time that is left for the answer to reach the caller.
static constexpr milliseconds AnswerMargin{25};
/// A request waits for an adapter at most this long; loads take a quarter of a second, and callers that are told early
/// can come back in time.
static constexpr milliseconds MaxAdapterWait{1500};
/// The same while no control host that leads is connected, which alone can have it loaded.
static constexpr milliseconds MaxUnledWait{400};
/// A waiting request looks again at least this often.
static constexpr milliseconds WaitStep{100};
/// After all processes have been restarted, an entry has its configuration within this time. A request that is refused
/// meanwhile is lost for most callers, and goals leave room for it.
static constexpr milliseconds MaxConfigurationWait{600};
static constexpr milliseconds WriteTimeout{1000};
static constexpr milliseconds RefusalRetryAfter{300};
/// Refusals by servers that one request tolerates before it is refused itself.
static constexpr int MaxRefusals = 6;
/// One of so many requests has all its steps logged; a log of all of them would be several MB/s at the planned size.
static constexpr std::uint64_t SampleInterval = 64;

RequestRelay::RequestRelay(Parts parts)
    : m_parts(parts)
    , m_random(std::random_device()())
{
}

/// A prompt delays the other requests of a server by its length; one of the ordinary length counts half.
static double weightOf(const CallerRequest &caller)
{
    constexpr double OrdinaryPromptTokens = 650;
    return caller.promptTokens == 0 ? 1.0 : 0.5 + 0.5 * caller.promptTokens / OrdinaryPromptTokens;
}

asio::awaitable<void> RequestRelay::serve(const HttpRequest &request, HttpResponder &responder)
{
    Exchange exchange(request, responder, m_parts.watch);
    exchange.arrived = Clock::now();
    exchange.sampled = m_served++ % SampleInterval == 0;
    exchange.caller = m_parts.dialect.readRequest(request);
    if (!m_parts.view.routes()) {
        co_await awaitConfiguration(exchange);
    }
    exchange.routes = m_parts.view.routes();
    if (!exchange.routes) {
        co_await refuse(exchange, EntryRefusal::NotReady, RefusalRetryAfter);
        recordEnd(exchange);
        co_return;
    }
    exchange.route = exchange.routes->find(request.headers.find("host").value_or(""), request.path());
    if (exchange.route == nullptr) {
        co_await refuse(exchange, EntryRefusal::NoRoute, milliseconds(0));
        recordEnd(exchange);
        co_return;
    }
    const auto &route = *exchange.route;
    std::uniform_real_distribution<double> draw(0, 1);
    exchange.service = RouteTable::chooseService(route, draw(m_random));
    exchange.deadline
        = exchange.arrived + std::min(route.timeout, exchange.caller.patience.value_or(route.timeout)) - AnswerMargin;
    exchange.weight = weightOf(exchange.caller);
    m_parts.view.retries(exchange.service).noteRequest(exchange.arrived);
    logRouted(exchange);
    co_await run(exchange);
    recordEnd(exchange);
}

asio::awaitable<void> RequestRelay::awaitConfiguration(Exchange &exchange)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    exchange.watched.timer = &timer;
    const auto patience = std::min(MaxConfigurationWait, exchange.caller.patience.value_or(MaxConfigurationWait));
    co_await m_parts.view.waitForConfiguration(exchange.arrived + patience, timer);
    exchange.watched.timer = nullptr;
}

asio::awaitable<void> RequestRelay::run(Exchange &exchange)
{
    while (!exchange.watched.gone()) {
        if (exchange.sent > 0) {
            auto &budget = m_parts.view.retries(exchange.service);
            const bool granted = budget.take(Clock::now());
            m_parts.metrics.count(Metrics::labelled(
                "retries_total", {{"service", exchange.service.value()}, {"result", granted ? "granted" : "refused"}}));
            if (!granted) {
                exchange.obstacle = "the retry budget is used up";
                LogLine(LogLevel::Info, "retry_refused")
                    .add("request", exchange.caller.attemptId)
                    .add("service", exchange.service.value())
                    .add("sent", exchange.sent)
                    .add("budget_left", budget.left(Clock::now()))
                    .add("reason", exchange.obstacle);
                break;
            }
        }
        auto choice = co_await awaitServer(exchange);
        if (!choice) {
            break;
        }
        const auto step = co_await attempt(exchange, std::move(*choice));
        if (step == Step::Finished) {
            co_return;
        }
        if (step == Step::Again && !maySendAgain(exchange)) {
            break;
        }
        if (step == Step::NotRun && ++exchange.refusals >= MaxRefusals) {
            break;
        }
    }
    co_await answerUnserved(exchange);
}

bool RequestRelay::maySendAgain(const Exchange &exchange) const
{
    return exchange.route->repeatable() && exchange.ran < exchange.route->maxServers
        && exchange.left(Clock::now()) > AnswerMargin;
}

asio::awaitable<std::optional<ServerDirectory::Choice>> RequestRelay::awaitServer(Exchange &exchange)
{
    auto &view = m_parts.view;
    ServerDirectory::Wish wish{.service = exchange.service,
                               .model = exchange.caller.model,
                               .adapter = exchange.caller.adapter,
                               .excluded = exchange.excluded};
    const auto begun = Clock::now();
    const auto last = std::min(exchange.deadline - AnswerMargin, begun + MaxAdapterWait);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    bool waited = false;
    const auto noteWait = [&](std::string_view result, TimePoint now) {
        if (waited) {
            exchange.waited += now - begun;
            logAwaited(exchange, now - begun, result);
        }
    };
    for (;;) {
        const auto now = Clock::now();
        const bool led = m_parts.led();
        const auto giveUp = led ? last : std::min(last, begun + MaxUnledWait);
        if (exchange.watched.gone() || now >= giveUp) {
            exchange.obstacle = now + AnswerMargin >= exchange.deadline ? "too little time is left"
                : led                                                   ? "the adapter was not loaded in time"
                                                                        : "no control host that leads is connected";
            noteWait(exchange.watched.gone() ? "caller_gone" : "gave_up", now);
            co_return std::nullopt;
        }
        if (wish.adapter) {
            wish.minVersion = view.requiredVersion(*wish.adapter, now);
        }
        const auto choice = view.servers().choose(wish, now);
        if (choice && choice->readyAt <= now) {
            noteWait("ready", now);
            if (wish.adapter && !waited) {
                m_parts.metrics.count("adapter_hits_total");
            }
            co_return choice;
        }
        if (!wish.adapter || !view.servers().offers(exchange.service, wish.model)) {
            exchange.obstacle = "no other server offers what it needs";
            noteWait("no_server", now);
            co_return std::nullopt;
        }
        if (!std::exchange(waited, true)) {
            m_parts.metrics.count(
                Metrics::labelled("adapter_misses_total", {{"state", choice ? "loading" : "not_held"}}));
        }
        auto until = std::min(giveUp, now + WaitStep);
        if (choice) {
            until = std::min(until, choice->readyAt);
        }
        FleetView::Wait wait{.adapter = *wish.adapter,
                             .version = view.namedVersion(*wish.adapter),
                             .demands = !choice,
                             .failed = static_cast<int>(exchange.excluded.size()),
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
        servers.began(choice.server.id, exchange.weight);
        servers.ended(choice.server.id, exchange.weight, ServerOutcome::Broken, Clock::now());
        LogLine(LogLevel::Info, "server_unreachable")
            .add("request", exchange.caller.attemptId)
            .add("server", choice.server.id.value())
            .add("reason", acquired.error().detail);
        exchange.excluded.insert(choice.server.id);
        co_return Step::NotRun;
    }
    auto connection = std::move(acquired).value();
    if (exchange.watched.gone()) {
        m_parts.connections.release(choice.server, std::move(connection));
        co_return Step::Finished;
    }
    const auto begun = Clock::now();
    Dispatch dispatch;
    dispatch.server = choice.server;
    dispatch.timeLeft = exchange.left(begun);
    if (exchange.caller.adapter) {
        const auto required = m_parts.view.requiredVersion(*exchange.caller.adapter, begun);
        if (required > 0) {
            dispatch.minVersion = required;
        }
    }
    // Ends also when the coroutine is destroyed.
    struct Use
    {
        FleetView &view;
        const TargetId server;
        const std::optional<AdapterKey> &adapter;
        ~Use()
        {
            if (adapter) {
                view.endUse(server, *adapter);
            }
        }
    };
    if (exchange.caller.adapter) {
        m_parts.view.beginUse(choice.server.id, *exchange.caller.adapter);
    }
    const Use use{m_parts.view, choice.server.id, exchange.caller.adapter};
    if (exchange.streaming) {
        dispatch.lastEvent = exchange.events.lastId();
    }
    auto request = m_parts.dialect.serverRequest(exchange.request, dispatch);
    ++exchange.sent;
    exchange.lastServer = choice.server.id;
    logSent(exchange, choice, dispatch.timeLeft);
    exchange.lastProgress = begun;
    servers.began(choice.server.id, exchange.weight);
    exchange.watched.connection = connection.get();
    const auto written = co_await connection->writeRequest(std::move(request), WriteTimeout);
    if (written.has_error()) {
        exchange.watched.connection = nullptr;
        if (connection->requestBytesWritten() > 0) {
            co_return broken(exchange, choice, ServerOutcome::Broken, written.error().detail);
        }
        servers.ended(choice.server.id, exchange.weight, ServerOutcome::Broken, Clock::now());
        exchange.excluded.insert(choice.server.id);
        co_return Step::NotRun;
    }
    // A server that says nothing for much longer than the goal is given up while another one may still be in time.
    auto patience = exchange.left(Clock::now());
    const bool mayMove = route.repeatable() && exchange.ran + 1 < route.maxServers;
    if (mayMove && route.goal > milliseconds(0)) {
        patience = std::min(patience, route.kind == RequestKind::Stream ? route.goal * 3 / 2 : route.goal * 2);
    }
    const auto head = co_await connection->readHead(std::max(patience, milliseconds(1)));
    if (exchange.watched.gone()) {
        exchange.watched.connection = nullptr;
        servers.ended(choice.server.id, exchange.weight, ServerOutcome::Unrelated, Clock::now());
        co_return Step::Finished;
    }
    if (head.has_error()) {
        exchange.watched.connection = nullptr;
        const bool silent = head.error().code == HttpErrorCode::TimedOut;
        co_return broken(exchange, choice, silent ? ServerOutcome::Silent : ServerOutcome::Broken, head.error().detail);
    }
    auto step = co_await relay(exchange, choice, std::move(connection), head.value());
    exchange.watched.connection = nullptr;
    co_return step;
}

RequestRelay::Step RequestRelay::broken(Exchange &exchange, const ServerDirectory::Choice &choice,
                                        ServerOutcome outcome, std::string_view reason)
{
    const auto now = Clock::now();
    m_parts.view.servers().ended(choice.server.id, exchange.weight,
                                 exchange.watched.gone() ? ServerOutcome::Unrelated : outcome, now);
    if (exchange.watched.gone()) {
        return Step::Finished;
    }
    ++exchange.ran;
    exchange.excluded.insert(choice.server.id);
    exchange.obstacle = "the answer of a server was lost";
    m_parts.metrics.count(Metrics::labelled(
        "server_answers_lost_total",
        {{"service", exchange.service.value()}, {"how", outcome == ServerOutcome::Silent ? "silent" : "broken"}}));
    LogLine(LogLevel::Info, "server_answer_lost")
        .add("request", exchange.caller.attemptId)
        .add("route", exchange.route->name)
        .add("server", choice.server.id.value())
        .add("zone", choice.zone.value())
        .add("sent", exchange.sent)
        .add("streaming", exchange.streaming ? "yes" : "no")
        .add("events", exchange.eventCount)
        .add("quiet_ms", duration_cast<milliseconds>(now - exchange.lastProgress))
        .add("patience_ms", exchange.caller.patience.value_or(milliseconds(-1)))
        .add("after_ms", duration_cast<milliseconds>(now - exchange.arrived))
        .add("left_ms", exchange.left(now))
        .add("reason", reason);
    return Step::Again;
}

asio::awaitable<void> RequestRelay::answerUnserved(Exchange &exchange)
{
    if (exchange.watched.gone()) {
        co_return;
    }
    if (exchange.streaming) {
        // The connection closes without the end of the stream, so that the caller sees that it is not whole.
        exchange.outcome = RequestOutcome::Cut;
        exchange.reason = "not_resumed";
        LogLine(LogLevel::Warning, "stream_cut")
            .add("request", exchange.caller.attemptId)
            .add("sent", exchange.sent)
            .add("events", exchange.eventCount)
            .add("last_event", exchange.events.lastId().value_or(""))
            .add("reason", exchange.obstacle);
        co_return;
    }
    if (exchange.failure) {
        exchange.outcome = RequestOutcome::ServerFailed;
        exchange.reason = "server_error";
        (void)co_await exchange.responder.send(std::move(*exchange.failure));
        co_return;
    }
    if (exchange.ran > 0) {
        const bool late = exchange.left(Clock::now()) <= AnswerMargin;
        co_await refuse(exchange, late ? EntryRefusal::TimedOut : EntryRefusal::OutcomeUnknown, milliseconds(0));
        co_return;
    }
    co_await refuse(exchange, EntryRefusal::NoServer, RefusalRetryAfter);
}

static std::string_view toString(EntryRefusal refusal)
{
    switch (refusal) {
    case EntryRefusal::NoRoute:
        return "no_route";
    case EntryRefusal::NotReady:
        return "not_ready";
    case EntryRefusal::NoServer:
        return "no_server";
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
    exchange.reason = toString(refusal);
    LogLine(LogLevel::Info, "request_refused")
        .add("request", exchange.caller.attemptId)
        .add("route", exchange.route == nullptr ? std::string_view() : std::string_view(exchange.route->name))
        .add("service", exchange.service.value())
        .add("adapter",
             exchange.caller.adapter ? std::string_view(exchange.caller.adapter->adapter) : std::string_view())
        .add("reason", exchange.reason)
        .add("detail", exchange.obstacle)
        .add("sent", exchange.sent)
        .add("refusals", exchange.refusals)
        .add("servers", static_cast<std::uint64_t>(m_parts.view.servers().size()))
        .add("configuration", exchange.routes ? exchange.routes->configuration().version : 0)
        .add("control_age_ms", m_parts.view.updateAge(Clock::now()))
        .add("after_ms", duration_cast<milliseconds>(Clock::now() - exchange.arrived));
    auto response = m_parts.dialect.refuse(exchange.caller, refusal, retryAfter);
    (void)co_await exchange.responder.send(std::move(response));
}

} // namespace tamarackcove
