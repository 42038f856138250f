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

/// The orders of one coordinator term: one task for each target that reads its state, and one for each order under
/// way, so that a release that takes long does not delay the loads of the same target.
///
/// Thread safety: used on one thread.
class TargetOrders
{
public:
    struct Hooks
    {
        /// No order is sent without the lease.
        std::function<bool(TimePoint now)> holdsLease;
        /// A target has seen this number.
        std::function<void(FencingNumber number)> noteNumber;
        /// The registry changed.
        std::function<void()> onChange;
        /// Orders of earlier coordinators to this target have ended, and its state was read after that.
        std::function<void(const TargetId &target)> onReady;
        /// An order has ended, or a target can take orders now.
        std::function<void()> onOrderEnded;
        std::function<std::string(const AdapterRef &adapter)> loraPath;
    };

    /// Precondition: registry, rounds, supervisor and options outlive the object.
    TargetOrders(const ZoneOptions &options, FencingNumber number, TimePoint termStart, TargetRegistry &registry,
                 ReleaseRounds &rounds, Supervisor &supervisor, Hooks hooks);
    ~TargetOrders();

    /// Starts the task of a target that has none.
    void follow(const TargetId &target);
    /// The state of the target must be read again.
    void readState(const TargetId &target);
    /// Whether orders of earlier coordinators have ended, the state was read after that, and orders may be sent.
    [[nodiscard]] bool ready(const TargetId &target) const;

    /// Precondition: ready(target), and the adapter is absent there.
    /// `onEnded` is called when the order has ended, whatever its outcome.
    void load(const TargetId &target, const AdapterRef &adapter, std::function<void()> onEnded);
    /// Precondition: ready(target), and the adapter is resident there.
    void retire(const TargetId &target, const AdapterRef &adapter);

private:
    struct Followed;

    boost::asio::awaitable<void> followTask(TargetId target);
    boost::asio::awaitable<void> loadTask(TargetId target, AdapterRef adapter);
    boost::asio::awaitable<void> retireTask(TargetId target, AdapterRef adapter);
    boost::asio::awaitable<std::optional<EngineStateReport>> fetchState(TargetId target);
    boost::asio::awaitable<bool> fence(TargetId target);
    boost::asio::awaitable<bool> readOnce(TargetId target);
    boost::asio::awaitable<std::optional<int>> readRunning(TargetId target, AdapterRef adapter);
    boost::asio::awaitable<bool> sendOrder(TargetId target, HttpRequest request);
    boost::asio::awaitable<std::optional<bool>> settle(TargetId target, AdapterRef adapter, TimePoint deadline);
    void apply(const TargetId &target, const AdapterRef &adapter, ResidencyEvent event);
    [[nodiscard]] OrderStamp nextStamp();
    [[nodiscard]] TimePoint ordersFrom(const TargetId &target) const;

    const ZoneOptions &m_options;
    FencingNumber m_number;
    TimePoint m_termStart;
    TargetRegistry &m_registry;
    ReleaseRounds &m_rounds;
    Supervisor &m_supervisor;
    Hooks m_hooks;
    std::map<TargetId, std::unique_ptr<Followed>> m_followed;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_lastTask = 0;
};

} // namespace tamarackcove
