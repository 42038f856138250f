#include "tamarackcove/Control/Fleet/OrderDispatcher.h"

#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds ConnectTimeout{500};
/// Servers answer an order at once, so this timeout only has to cover the round trip between zones. A server that does
/// not answer in time may still carry out the order.
static constexpr milliseconds ExchangeTimeout{120};
/// Limit on the answer to an order or to a read of the state, which lists the adapters of one server.
static constexpr std::size_t MaxReplyBytes = 1024 * 1024;
/// Longest idle time of a connection on which an order is still sent. Servers close idle connections after some
/// seconds, and an order is never sent on a connection that may be closing.
static constexpr milliseconds MaxConnectionIdle{1500};

/// Longest time for which a server gets no orders because it has asked for that.
static constexpr milliseconds MaxPause{30000};
/// Interval between two checks whether this host may give orders again, while its lease has expired.
static constexpr milliseconds SuspensionRecheckInterval{50};

struct OrderDispatcher::Target
{
    Target(ServerHeartbeat heartbeat, const asio::any_io_executor &executor)
        : server(std::move(heartbeat))
        , wake(executor)
    {
    }

    ServerHeartbeat server;
    Timer wake;
    std::unique_ptr<HttpConnection> connection;
    /// The server has asked for no requests before this time.
    TimePoint pausedUntil;
    /// Set to end the task of this server.
    bool stopped = false;
};

static std::string_view toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::WrongServer:
        return "wrong_server";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

OrderDispatcher::OrderDispatcher(Supervisor &tasks, AdapterPlanner &planner, EngineDialect dialect, Metrics &metrics,
                                 Hooks hooks)
    : m_tasks(tasks)
    , m_planner(planner)
    , m_dialect(std::move(dialect))
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

void OrderDispatcher::begin(std::string holder, FencingNumber fence)
{
    end();
    m_holder = std::move(holder);
    m_fence = fence;
    m_active = true;
    LogLine(LogLevel::Info, "order_duty_begun").add("holder", m_holder).add("fence", m_fence.value());
}

void OrderDispatcher::end()
{
    if (!m_active) {
        return;
    }
    m_active = false;
    LogLine(LogLevel::Info, "order_duty_ended").add("fence", m_fence.value());
    for (auto &[id, target] : m_targets) {
        target->stopped = true;
        target->wake.cancel();
    }
    m_targets.clear();
}

bool OrderDispatcher::active() const
{
    return m_active;
}

void OrderDispatcher::updateServer(const ServerHeartbeat &server)
{
    if (!m_active) {
        return;
    }
    auto &target = m_targets[server.identity.id];
    if (target && target->server.identity == server.identity) {
        target->server = server;
        return;
    }
    if (target) {
        target->stopped = true;
        target->wake.cancel();
    }
    target = std::make_shared<Target>(server, m_tasks.executor());
    m_tasks.startTemporary("orders-" + server.identity.id.value() + "-" + std::to_string(++m_startedTasks),
                           [this, target, fence = m_fence] { return run(target, fence); });
}

void OrderDispatcher::removeServer(const TargetId &id)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second->stopped = true;
        found->second->wake.cancel();
        m_targets.erase(found);
    }
}

void OrderDispatcher::wakeChangedServers()
{
    for (const auto &id : m_planner.takeWakeups()) {
        const auto found = m_targets.find(id);
        if (found != m_targets.end()) {
            found->second->wake.cancel();
        }
    }
}

asio::awaitable<void> OrderDispatcher::run(std::shared_ptr<Target> target, FencingNumber fence)
{
    const auto id = target->server.identity.id;
    while (!target->stopped && m_active && m_fence == fence) {
        if (!m_hooks.mayGiveOrders()) {
            target->wake.expires_after(SuspensionRecheckInterval);
            boost::system::error_code ignored;
            co_await target->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        if (target->pausedUntil > Clock::now()) {
            target->wake.expires_at(target->pausedUntil);
            boost::system::error_code ignored;
            co_await target->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        auto step = m_planner.nextStep(id, Clock::now());
        switch (step.kind) {
        case AdapterPlanner::Step::Kind::Wait: {
            target->wake.expires_at(step.until);
            boost::system::error_code ignored;
            co_await target->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            break;
        }
        case AdapterPlanner::Step::Kind::ReadState:
            co_await readState(*target);
            break;
        case AdapterPlanner::Step::Kind::Order:
            step.order.holder = m_holder;
            step.order.fence = fence;
            co_await sendOrder(*target, std::move(step.order));
            break;
        }
        m_hooks.onChange();
    }
}

asio::awaitable<std::optional<HttpResponse>> OrderDispatcher::exchange(Target &target, HttpRequest request)
{
    if (target.connection
        && (!target.connection->reusable() || target.connection->lastReadAt() + MaxConnectionIdle < Clock::now()
            || target.connection->peerClosed())) {
        target.connection.reset();
    }
    if (!target.connection) {
        auto connected = co_await HttpConnection::connect(target.server.endpoint, ConnectTimeout);
        if (connected.has_error()) {
            co_return std::nullopt;
        }
        target.connection = std::move(connected).value();
        // The connect can take longer than the lease lasts, and the task may have been ended meanwhile.
        if (target.stopped || !m_hooks.mayGiveOrders()) {
            co_return std::nullopt;
        }
    }
    auto response = co_await target.connection->exchange(std::move(request), ExchangeTimeout, MaxReplyBytes);
    if (response.has_error()) {
        LogLine(LogLevel::Info, "server_reply_unread")
            .add("server", target.server.identity.id.value())
            .add("reason", response.error().detail);
        target.connection.reset();
        co_return std::nullopt;
    }
    applyStatements(target, response.value());
    co_return std::move(response).value();
}

void OrderDispatcher::applyStatements(Target &target, const HttpResponse &response)
{
    // What an earlier start of the server has stated does not hold for the present one.
    if (target.stopped) {
        return;
    }
    if (const auto pause = m_dialect.retryAfter(response)) {
        target.pausedUntil = Clock::now() + std::min(*pause, MaxPause);
        // Adapters that requests wait for meanwhile are loaded on other servers.
        m_planner.markUnreachable(target.server.identity.id, target.pausedUntil);
        LogLine(LogLevel::Info, "server_paused")
            .add("server", target.server.identity.id.value())
            .add("asked_ms", *pause)
            .add("status", response.status);
    }
    constexpr int WrongServerStatus = 421;
    if (response.status != WrongServerStatus && m_dialect.saysLeaving(response)) {
        m_hooks.onLeaving(ServerIdentity(target.server.identity));
    }
}

asio::awaitable<void> OrderDispatcher::readState(Target &target)
{
    const auto requestedAt = Clock::now();
    const auto identity = target.server.identity;
    auto request = m_dialect.stateRequest(identity);
    const auto response = co_await exchange(target, std::move(request));
    std::optional<ServerReport> report;
    if (response) {
        report = m_dialect.readReport(*response);
    }
    if (const auto invalid = report ? report->validationError() : std::nullopt) {
        LogLine(LogLevel::Warning, "server_report_refused").add("server", identity.id.value()).add("reason", *invalid);
        report.reset();
    }
    m_metrics.count("state_reads_total");
    if (!report) {
        m_metrics.count("state_reads_failed_total");
        LogLine(LogLevel::Info, "server_state_unread")
            .add("server", identity.id.value())
            .add("status", response ? response->status : 0);
        m_planner.handleReadFailure(identity, Clock::now());
        co_return;
    }
    if (!target.stopped) {
        m_planner.applyReport(identity, *report, requestedAt, Clock::now());
    }
}

asio::awaitable<void> OrderDispatcher::sendOrder(Target &target, ServerOrder order)
{
    const auto requestedAt = Clock::now();
    auto request = m_dialect.orderRequest(order);
    const auto response = co_await exchange(target, std::move(request));
    const auto outcome = response ? m_dialect.orderOutcome(order, *response) : OrderOutcome::Unknown;
    const std::string_view action = order.action == ServerOrder::Action::Load ? "load" : "unload";
    m_metrics.count(Metrics::labelled("orders_total", {{"action", action}, {"outcome", toString(outcome)}}));
    m_metrics.observe("order_seconds", Clock::now() - requestedAt);
    LogLine(LogLevel::Info, "order_answered")
        .add("server", order.server.id.value())
        .add("action", action)
        .add("model", order.weights.model.value())
        .add("adapter", order.weights.adapter)
        .add("version", order.version)
        .add("expected_orders", order.expectedAcceptedOrders)
        .add("fence", order.fence.value())
        .add("outcome", toString(outcome));
    // The planner has been reset, or no longer knows the server, once the task has been ended.
    if (!target.stopped) {
        m_planner.applyOrderOutcome(order, outcome, Clock::now());
    }
}

} // namespace tamarackcove
