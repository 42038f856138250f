#include "tamarackcove/Entry/Coordinator/TargetOrders.h"

#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Targets/TargetRegistry.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds StateTimeout{2000};
static constexpr milliseconds StateRetryInterval{500};
// How often the state of a target is read while the outcome of an order is unknown.
static constexpr milliseconds ResidencyPollInterval{300};
// Announcements lag behind the state of the target and may contradict it repeatedly; this limits the reads they cause.
static constexpr milliseconds MinStateReadInterval{2000};
/// Limit on the body of an answer to an order or to a read of the state, and on what is logged of it.
static constexpr std::size_t MaxReplyBytes = 1024 * 1024;
static constexpr std::size_t MaxLoggedBytes = 256;

struct TargetOrders::FollowedTarget
{
    explicit FollowedTarget(const asio::any_io_executor &executor)
        : wake(executor)
    {
    }

    /// Cancelled to make the task read the target's state.
    Timer wake;
    bool stateReadRequested = true;
    bool stateReadAfterFencing = false;
    Incarnation incarnation;
    TimePoint lastReadAt = TimePoint::min();
};

TargetOrders::TargetOrders(const ZoneOptions &options, FencingNumber number, TimePoint termStart,
                           TargetRegistry &registry, ReleaseRounds &rounds, Supervisor &supervisor, Hooks hooks)
    : m_options(options)
    , m_number(number)
    , m_termStart(termStart)
    , m_registry(registry)
    , m_rounds(rounds)
    , m_supervisor(supervisor)
    , m_hooks(std::move(hooks))
{
}

TargetOrders::~TargetOrders() = default;

OrderStamp TargetOrders::nextStamp()
{
    return OrderStamp{.number = m_number, .id = ++m_lastOrderId, .deadline = m_options.orderDeadline};
}

TimePoint TargetOrders::earliestOrderTime(const TargetId &target) const
{
    // A target without fencing support may still execute an order of the previous coordinator until its deadline.
    return m_registry.view(target).fencing == FencingSupport::Ignores ? m_termStart + m_options.orderDeadline
                                                                      : m_termStart;
}

void TargetOrders::followTarget(const TargetId &target)
{
    if (m_followedTargets.contains(target) || m_registry.view(target).kind != TargetKind::Engine) {
        return;
    }
    m_followedTargets[target] = std::make_unique<FollowedTarget>(m_supervisor.executor());
    m_supervisor.start("target_" + target.value(), [this, target] { return followTask(target); });
}

void TargetOrders::requestStateRead(const TargetId &target)
{
    const auto found = m_followedTargets.find(target);
    if (found != m_followedTargets.end()) {
        found->second->stateReadRequested = true;
        found->second->wake.cancel();
    }
}

bool TargetOrders::readyForOrders(const TargetId &target) const
{
    const auto found = m_followedTargets.find(target);
    return found != m_followedTargets.end() && found->second->stateReadAfterFencing && m_registry.contains(target)
        && found->second->incarnation == m_registry.view(target).incarnation;
}

asio::awaitable<void> TargetOrders::followTask(TargetId target)
{
    auto &followed = *m_followedTargets.at(target);
    while (m_registry.contains(target)) {
        const auto now = Clock::now();
        const auto view = m_registry.view(target);
        const bool restarted = followed.incarnation != view.incarnation;
        auto next = TimePoint::max();
        if (!followed.stateReadAfterFencing || restarted) {
            followed.stateReadAfterFencing = false;
            // The residency is read even before the target is fenced, since the view needs it. Orders may be sent only
            // after a read that follows the fencing.
            const bool fenced = now >= earliestOrderTime(target) && co_await fence(target);
            const bool read = co_await readStateOnce(target);
            if (fenced && read) {
                followed.stateReadAfterFencing = true;
                m_hooks.onReadyForOrders(target);
                m_hooks.onRegistryChange();
                continue;
            }
            next = Clock::now() + StateRetryInterval;
            if (read && m_registry.contains(target)) {
                next = std::max(next, earliestOrderTime(target));
            }
        } else if (followed.stateReadRequested) {
            if (followed.lastReadAt != TimePoint::min() && now - followed.lastReadAt < MinStateReadInterval) {
                next = followed.lastReadAt + MinStateReadInterval;
            } else {
                const bool read = co_await readStateOnce(target);
                next = read && !followed.stateReadRequested ? TimePoint::max() : Clock::now() + StateRetryInterval;
            }
        }
        // Bounds how long the task runs after the registry has removed the target.
        followed.wake.expires_at(std::min(next, Clock::now() + m_options.removeAfter));
        boost::system::error_code ignored;
        co_await followed.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_followedTargets.erase(target);
}

asio::awaitable<std::optional<EngineStateReport>> TargetOrders::fetchState(TargetId target)
{
    if (!m_registry.contains(target)) {
        co_return std::nullopt;
    }
    const auto endpoint = m_registry.view(target).endpoint;
    auto request = stateRequest();
    const auto response = co_await httpExchange(endpoint, std::move(request), StateTimeout, MaxReplyBytes);
    if (response.has_error() || response.value().status != 200) {
        co_return std::nullopt;
    }
    auto report = parseEngineState(response.value().body);
    if (report.has_error()) {
        LogLine(LogLevel::Warning, "engine_state_refused").add("target", target.value()).add("reason", report.error());
        co_return std::nullopt;
    }
    m_hooks.recordFencingNumber(report.value().highestFencingNumber);
    co_return std::move(report).value();
}

/// Makes a target that supports fencing refuse orders of earlier coordinators, by sending an order with this term's
/// fencing number. The order unloads an adapter that does not exist, so it has no other effect.
asio::awaitable<bool> TargetOrders::fence(TargetId target)
{
    if (!m_registry.contains(target) || !m_hooks.holdsLease(Clock::now())) {
        co_return false;
    }
    const auto view = m_registry.view(target);
    if (view.fencing == FencingSupport::Ignores) {
        co_return true;
    }
    auto request = makeUnloadOrder(AdapterRef("tamarackcove-fence", "0"), nextStamp());
    const auto response = co_await httpExchange(view.endpoint, std::move(request), StateTimeout, MaxReplyBytes);
    constexpr int Conflict = 409;
    co_return response.has_value() && response.value().status != Conflict &&response.value().status < 500;
}

asio::awaitable<bool> TargetOrders::readStateOnce(TargetId target)
{
    const auto askedAt = Clock::now();
    auto *followed = m_followedTargets.at(target).get();
    followed->lastReadAt = askedAt;
    const auto report = co_await fetchState(target);
    if (!report || !m_registry.contains(target)) {
        co_return false;
    }
    if (report->incarnation != m_registry.view(target).incarnation) {
        // The target has restarted: either its new announcement has not arrived yet, or its old process sent this
        // reply.
        co_return false;
    }
    std::set<AdapterRef> resident;
    bool earlierLoadInProgress = false;
    for (const auto &engineAdapter : report->adapters) {
        if (!engineAdapter.loading) {
            resident.insert(engineAdapter.adapter);
        } else if (m_registry.stage(target, engineAdapter.adapter) != ResidencyStage::Loading) {
            // An earlier coordinator ordered this load. A later read of the target's state shows its outcome.
            earlierLoadInProgress = true;
        }
    }
    m_registry.reconcileResidency(target, resident, askedAt, Clock::now());
    followed->incarnation = report->incarnation;
    followed->stateReadRequested = earlierLoadInProgress;
    m_hooks.onRegistryChange();
    co_return true;
}

asio::awaitable<std::optional<int>> TargetOrders::countRunningRequests(TargetId target, AdapterRef adapter)
{
    const auto report = co_await fetchState(target);
    if (!report) {
        co_return std::nullopt;
    }
    for (const auto &engineAdapter : report->adapters) {
        if (engineAdapter.adapter == adapter) {
            co_return engineAdapter.running;
        }
    }
    co_return 0;
}

asio::awaitable<bool> TargetOrders::sendOrder(TargetId target, HttpRequest request)
{
    if (!m_hooks.holdsLease(Clock::now()) || !m_registry.contains(target)) {
        co_return false;
    }
    const auto endpoint = m_registry.view(target).endpoint;
    const auto orderPath = request.target;
    const auto response = co_await httpExchange(endpoint, std::move(request), m_options.orderDeadline, MaxReplyBytes);
    if (response.has_value() && response.value().status == 200) {
        co_return true;
    }
    LogLine(LogLevel::Warning, "order_failed")
        .add("target", target.value())
        .add("order", orderPath)
        .add("reason",
             response.has_error() ? response.error().detail : response.value().body.substr(0, MaxLoggedBytes));
    co_return false;
}

/// Reads the state of the target until the adapter is either resident or absent, and returns whether it is resident.
/// Returns std::nullopt when this is still unknown at the deadline.
asio::awaitable<std::optional<bool>> TargetOrders::determineResidency(TargetId target, AdapterRef adapter,
                                                                      TimePoint deadline)
{
    Timer timer(co_await asio::this_coro::executor);
    while (m_registry.contains(target)) {
        if (const auto report = co_await fetchState(target)) {
            const auto engineAdapter = std::find_if(report->adapters.begin(), report->adapters.end(),
                                                    [&](const auto &item) { return item.adapter == adapter; });
            if (engineAdapter == report->adapters.end()) {
                co_return false;
            }
            if (!engineAdapter->loading) {
                co_return true;
            }
        }
        if (Clock::now() >= deadline) {
            break;
        }
        timer.expires_after(ResidencyPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return std::nullopt;
}

void TargetOrders::apply(const TargetId &target, const AdapterRef &adapter, ResidencyEvent event)
{
    if (m_registry.apply(target, adapter, event, Clock::now())) {
        m_hooks.onRegistryChange();
    }
}

void TargetOrders::load(const TargetId &target, const AdapterRef &adapter, std::function<void()> onEnded)
{
    apply(target, adapter, ResidencyEvent::LoadOrdered);
    m_supervisor.startTemporary("load_" + std::to_string(++m_lastTaskNumber),
                                [this, target, adapter, onEnded]() -> asio::awaitable<void> {
                                    try {
                                        co_await loadTask(target, adapter);
                                    } catch (...) {
                                        onEnded();
                                        throw;
                                    }
                                    onEnded();
                                    m_hooks.onOrderEnded();
                                });
}

asio::awaitable<void> TargetOrders::loadTask(TargetId target, AdapterRef adapter)
{
    const auto deadline = Clock::now() + m_options.orderDeadline;
    const auto incarnation = m_registry.contains(target) ? m_registry.view(target).incarnation : Incarnation();
    auto request = makeLoadOrder(adapter, m_hooks.loraPath(adapter), nextStamp());
    bool loaded = co_await sendOrder(target, std::move(request));
    if (!loaded) {
        // The load may have succeeded although its response was lost; the adapter then occupies a slot.
        loaded = (co_await determineResidency(target, adapter, deadline)).value_or(false);
        requestStateRead(target);
    }
    // If the target has restarted since the order, it has lost its adapters, and this outcome is that of its old
    // process.
    if (m_registry.contains(target) && m_registry.view(target).incarnation == incarnation) {
        apply(target, adapter, loaded ? ResidencyEvent::Loaded : ResidencyEvent::LoadFailed);
    }
}

void TargetOrders::retire(const TargetId &target, const AdapterRef &adapter)
{
    apply(target, adapter, ResidencyEvent::RetireStarted);
    m_supervisor.startTemporary("retire_" + std::to_string(++m_lastTaskNumber),
                                [this, target, adapter] { return retireTask(target, adapter); });
}

asio::awaitable<void> TargetOrders::retireTask(TargetId target, AdapterRef adapter)
{
    const auto incarnation = m_registry.contains(target) ? m_registry.view(target).incarnation : Incarnation();
    const auto sameIncarnation = [this, target, incarnation] {
        return m_registry.contains(target) && m_registry.view(target).incarnation == incarnation;
    };
    const ReleaseRounds::CountRunningRequests countRunning = [this, target, adapter] {
        return countRunningRequests(target, adapter);
    };
    const bool released = co_await m_rounds.releaseAdapter(target, adapter, countRunning);
    if (!sameIncarnation()) {
        co_return;
    }
    if (!released) {
        apply(target, adapter, ResidencyEvent::RetireAborted);
        co_return;
    }
    const auto deadline = Clock::now() + m_options.orderDeadline;
    auto request = makeUnloadOrder(adapter, nextStamp());
    bool unloaded = co_await sendOrder(target, std::move(request));
    if (!unloaded) {
        const auto resident = co_await determineResidency(target, adapter, deadline);
        unloaded = resident.has_value() && !*resident;
        if (!unloaded) {
            // The order may still take effect until its deadline, so no request may use the adapter before that.
            Timer timer(co_await asio::this_coro::executor, deadline);
            co_await timer.async_wait(asio::use_awaitable);
            unloaded = !(co_await determineResidency(target, adapter, deadline)).value_or(true);
        }
        requestStateRead(target);
    }
    if (sameIncarnation()) {
        apply(target, adapter, unloaded ? ResidencyEvent::Unloaded : ResidencyEvent::RetireAborted);
    }
    m_hooks.onOrderEnded();
}

} // namespace tamarackcove
