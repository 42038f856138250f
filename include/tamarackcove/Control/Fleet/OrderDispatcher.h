#pragma once

#include "tamarackcove/Control/Fleet/EngineDialect.h"
#include "tamarackcove/Fleet/AdapterPlanner.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tamarackcove {

class HttpConnection;
class Metrics;

/// Sends orders to servers while this host holds the order duty: the role of the one control host that may order
/// servers to load and unload weights. One task for each server asks the planner for the next step, carries out that
/// step and reports its result to the planner.
///
/// Thread safety: used on the thread of the executor.
class OrderDispatcher
{
public:
    struct Hooks
    {
        /// Whether this host may send an order at this moment. While it may not, the tasks of the servers wait.
        std::function<bool()> mayGiveOrders;
        /// Called after each step, which may have changed the holdings of servers.
        std::function<void()> onChange;
        /// Called when a server has stated in an answer that it is leaving.
        std::function<void(const ServerIdentity &)> onLeaving;
    };

    /// Precondition: planner and metrics outlive this object; the supervisor is stopped before it is destroyed.
    OrderDispatcher(Supervisor &tasks, AdapterPlanner &planner, EngineDialect dialect, Metrics &metrics, Hooks hooks);

    /// Starts sending orders that state this holder and fencing number. Calls end() first.
    void begin(std::string holder, FencingNumber fence);
    /// Stops sending orders. A server may still carry out an order that was sent before.
    void end();
    /// Whether begin() was called without an end() since.
    [[nodiscard]] bool active() const;

    /// Adds a server or updates its record, and starts the task of the server if none is running. Does nothing while
    /// active() is false.
    void updateServer(const ServerHeartbeat &server);
    /// Ends the task of a server.
    void removeServer(const TargetId &id);
    /// Wakes the tasks of the servers whose next step the planner has changed.
    void wakeChangedServers();

private:
    struct Target;

    boost::asio::awaitable<void> run(std::shared_ptr<Target> target, FencingNumber fence);
    boost::asio::awaitable<void> readState(Target &target);
    boost::asio::awaitable<void> sendOrder(Target &target, ServerOrder order);
    boost::asio::awaitable<std::optional<HttpResponse>> exchange(Target &target, HttpRequest request);
    /// Applies what an answer states about its server: that it is leaving, or wants no requests for a while.
    void applyStatements(Target &target, const HttpResponse &response);

    Supervisor &m_tasks;
    AdapterPlanner &m_planner;
    EngineDialect m_dialect;
    Metrics &m_metrics;
    Hooks m_hooks;
    std::string m_holder;
    FencingNumber m_fence;
    bool m_active = false;
    std::map<TargetId, std::shared_ptr<Target>> m_targets;
    std::uint64_t m_startedTasks = 0;
};

} // namespace tamarackcove
