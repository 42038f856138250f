#pragma once

#include "tamarackcove/Control/Fleet/EngineDialect.h"
#include "tamarackcove/Fleet/AdapterPlanner.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tamarackcove {

class HttpConnection;
class Metrics;

/// Gives orders to servers while this host has the duty to: one task a server, which asks the planner for the next
/// step, carries it out and tells the planner what came of it.
///
/// Thread safety: used on the thread of the executor.
class OrderDuty
{
public:
    struct Hooks
    {
        /// Whether this host may give an order at this moment.
        std::function<bool()> holdsDuty;
        /// Runs after each step, which may have changed what servers hold.
        std::function<void()> onChange;
    };

    /// Precondition: planner and metrics outlive this object; the supervisor is stopped before it is destroyed.
    OrderDuty(Supervisor &tasks, AdapterPlanner &planner, EngineDialect dialect, Metrics &metrics, Hooks hooks);

    void begin(std::string holder, FencingNumber fence);
    void end();
    [[nodiscard]] bool active() const;

    /// A server may be ordered; starts its task unless it runs.
    void serverSeen(const ServerHeartbeat &server);
    void serverGone(const TargetId &id);
    /// Wakes the tasks whose next step the planner has changed.
    void wake();

private:
    struct Target;

    boost::asio::awaitable<void> run(std::shared_ptr<Target> target, FencingNumber fence);
    boost::asio::awaitable<void> readState(Target &target);
    boost::asio::awaitable<void> giveOrder(Target &target, ServerOrder order);
    boost::asio::awaitable<std::optional<HttpResponse>> exchange(Target &target, HttpRequest request);

    Supervisor &m_tasks;
    AdapterPlanner &m_planner;
    EngineDialect m_dialect;
    Metrics &m_metrics;
    Hooks m_hooks;
    std::string m_holder;
    FencingNumber m_fence;
    bool m_active = false;
    std::map<TargetId, std::shared_ptr<Target>> m_targets;
    std::uint64_t m_started = 0;
};

} // namespace tamarackcove
