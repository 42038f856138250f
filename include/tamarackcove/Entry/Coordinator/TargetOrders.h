#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Coordinator/EngineOrders.h"
#include "tamarackcove/Entry/Coordinator/ReleaseRounds.h"
#include "tamarackcove/Entry/ZoneOptions.h"
#include "tamarackcove/Targets/AdapterResidency.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace tamarackcove {

class Supervisor;
class TargetRegistry;

/// The orders of one coordinator term to engines: to load and unload adapters. One task for each target reads the
/// target's state; each order in progress has its own task, so that entries that are slow to release an adapter do not
/// delay adapter loads on the same target.
///
/// Thread safety: used on one thread.
class TargetOrders
{
public:
    struct Hooks
    {
        /// Whether this entry holds the zone lease at `now`. No order is sent without the lease.
        std::function<bool(TimePoint now)> holdsLease;
        /// Called with the highest fencing number that a target reports to have received in an order.
        std::function<void(FencingNumber number)> recordFencingNumber;
        /// Called after each change of the registry.
        std::function<void()> onRegistryChange;
        /// Called when readyForOrders() becomes true for the target.
        std::function<void(const TargetId &target)> onReadyForOrders;
        /// Called when an order has ended, so that the next one can be planned.
        std::function<void()> onOrderEnded;
        /// The path that a load order names as `lora_path`.
        std::function<std::string(const AdapterRef &adapter)> loraPath;
    };

    /// Precondition: registry, rounds, supervisor and options outlive the object.
    TargetOrders(const ZoneOptions &options, FencingNumber number, TimePoint termStart, TargetRegistry &registry,
                 ReleaseRounds &rounds, Supervisor &supervisor, Hooks hooks);
    ~TargetOrders();

    /// Starts the task that reads the state of the target, if the target is an engine without such a task.
    void followTarget(const TargetId &target);
    /// Makes the task of the target read the target's state again.
    void requestStateRead(const TargetId &target);
    /// Whether orders may be sent to the target: orders of earlier coordinators can no longer take effect there, and
    /// the state of the target was read after the time from which they no longer could.
    [[nodiscard]] bool readyForOrders(const TargetId &target) const;

    /// Orders the target to load the adapter. `onEnded` is called when the order has ended, whatever its outcome.
    /// Precondition: readyForOrders(target), and the adapter is absent there.
    void load(const TargetId &target, const AdapterRef &adapter, std::function<void()> onEnded);
    /// Asks all entries to release the adapter, that is, to stop sending requests for it to the target; then orders the
    /// target to unload it.
    /// Precondition: readyForOrders(target), and the adapter is resident there.
    void retire(const TargetId &target, const AdapterRef &adapter);

private:
    struct FollowedTarget;

    boost::asio::awaitable<void> followTask(TargetId target);
    boost::asio::awaitable<void> loadTask(TargetId target, AdapterRef adapter);
    boost::asio::awaitable<void> retireTask(TargetId target, AdapterRef adapter);
    boost::asio::awaitable<std::optional<EngineStateReport>> fetchState(TargetId target);
    boost::asio::awaitable<bool> fence(TargetId target);
    boost::asio::awaitable<bool> readStateOnce(TargetId target);
    boost::asio::awaitable<std::optional<int>> countRunningRequests(TargetId target, AdapterRef adapter);
    boost::asio::awaitable<bool> sendOrder(TargetId target, HttpRequest request);
    boost::asio::awaitable<std::optional<bool>> determineResidency(TargetId target, AdapterRef adapter,
                                                                   TimePoint deadline);
    void apply(const TargetId &target, const AdapterRef &adapter, ResidencyEvent event);
    [[nodiscard]] OrderStamp nextStamp();
    [[nodiscard]] TimePoint earliestOrderTime(const TargetId &target) const;

    const ZoneOptions &m_options;
    FencingNumber m_number;
    TimePoint m_termStart;
    TargetRegistry &m_registry;
    ReleaseRounds &m_rounds;
    Supervisor &m_supervisor;
    Hooks m_hooks;
    std::map<TargetId, std::unique_ptr<FollowedTarget>> m_followedTargets;
    std::uint64_t m_lastOrderId = 0;
    std::uint64_t m_lastTaskNumber = 0;
};

} // namespace tamarackcove
