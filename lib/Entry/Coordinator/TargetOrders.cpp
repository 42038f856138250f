#include "tamarackcove/Entry/Coordinator/TargetOrders.h"

#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Targets/TargetRegistry.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds StateTimeout{2000};
static constexpr milliseconds StateRetry{500};
// How often a state is read while the outcome of an order is unknown.
static constexpr milliseconds SettleInterval{300};
// Announcements may contradict the state for as long as they lag; reading it once in this time is enough.
static constexpr milliseconds MinReadInterval{2000};

struct TargetOrders::Followed
{
    explicit Followed(const asio::any_io_executor &executor)
        : wake(executor)
    {
    }

    /// Cancelled when the state should be read.
    asio::steady_timer wake;
    bool readWanted = true;
    bool stateKnown = false;
    Incarnation incarnation;
    TimePoint readAt = TimePoint::min();
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
    return OrderStamp{.number = m_number, .id = ++m_lastOrder, .deadline = m_options.orderDeadline};
}

TimePoint TargetOrders::ordersFrom(const TargetId &target) const
{
    // An order of the coordinator before may still be under way at a target that cannot tell whose it is.
    return m_registry.view(target).fencing == FencingSupport::Ignores ? m_termStart + m_options.orderDeadline
                                                                      : m_termStart;
}

void TargetOrders::follow(const TargetId &target)
{
    if (m_followed.contains(target) || m_registry.view(target).kind != TargetKind::Engine) {
        return;
    }
    m_followed[target] = std::make_unique<Followed>(m_supervisor.executor());
    m_supervisor.start("target_" + target.value(), [this, target] { return followTask(target); });
}

void TargetOrders::readState(const TargetId &target)
{
    const auto found = m_followed.find(target);
    if (found != m_followed.end()) {
        found->second->readWanted = true;
        found->second->wake.cancel();
    }
}

bool TargetOrders::ready(const TargetId &target) const
{
    const auto found = m_followed.find(target);
    return found != m_followed.end() && found->second->stateKnown && m_registry.contains(target)
        && found->second->incarnation == m_registry.view(target).incarnation;
}

asio::awaitable<void> TargetOrders::followTask(TargetId target)
{
    auto &followed = *m_followed.at(target);
    while (m_registry.contains(target)) {
        const auto now = Clock::now();
        const auto view = m_registry.view(target);
        const bool restarted = followed.incarnation != view.incarnation;
        auto next = TimePoint::max();
        if (!followed.stateKnown || restarted) {
            followed.stateKnown = false;
            // The residency is worth knowing before orders may be sent; the read that counts is the one after.
            const bool fenced = now >= ordersFrom(target) && co_await fence(target);
            const bool read = co_await readOnce(target);
            if (fenced && read) {
                followed.stateKnown = true;
                m_hooks.onReady(target);
                m_hooks.onChange();
                continue;
            }
            next = Clock::now() + StateRetry;
            if (read && m_registry.contains(target)) {
                next = std::max(next, ordersFrom(target));
            }
        } else if (followed.readWanted) {
            if (followed.readAt != TimePoint::min() && now - followed.readAt < MinReadInterval) {
                next = followed.readAt + MinReadInterval;
            } else {
                const bool read = co_await readOnce(target);
                next = read && !followed.readWanted ? TimePoint::max() : Clock::now() + StateRetry;
            }
        }
        // A target that is gone is noticed within its announcement interval after it would have announced itself.
        followed.wake.expires_at(std::min(next, Clock::now() + m_options.goneAfter));
        boost::system::error_code ignored;
        co_await followed.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_followed.erase(target);
}

asio::awaitable<std::optional<EngineStateReport>> TargetOrders::fetchState(TargetId target)
{
    if (!m_registry.contains(target)) {
        co_return std::nullopt;
    }
    const auto endpoint = m_registry.view(target).endpoint;
    auto request = stateRequest();
    const auto response = co_await httpExchange(endpoint, std::move(request), StateTimeout);
    if (response.has_error() || response.value().status != 200) {
        co_return std::nullopt;
    }
    auto report = parseEngineState(response.value().body);
    if (report.has_error()) {
        LogLine(LogLevel::Warning, "engine_state_refused").add("target", target.value()).add("reason", report.error());
        co_return std::nullopt;
    }
    m_hooks.noteNumber(report.value().highest);
    co_return std::move(report).value();
}

/// Makes the target refuse orders of earlier coordinators, if it can: it has to see an order with the own number, and
/// unloading an adapter that does not exist changes nothing else.
asio::awaitable<bool> TargetOrders::fence(TargetId target)
{
    if (!m_registry.contains(target) || !m_hooks.holdsLease(Clock::now())) {
        co_return false;
    }
    const auto view = m_registry.view(target);
    if (view.fencing == FencingSupport::Ignores) {
        co_return true;
    }
    auto request = unloadOrder(AdapterRef("tamarackcove-fence", "0"), nextStamp());
    const auto response = co_await httpExchange(view.endpoint, std::move(request), StateTimeout);
    constexpr int Conflict = 409;
    co_return response.has_value() && response.value().status != Conflict &&response.value().status < 500;
}

asio::awaitable<bool> TargetOrders::readOnce(TargetId target)
{
    const auto askedAt = Clock::now();
    auto *followed = m_followed.at(target).get();
    followed->readAt = askedAt;
    const auto report = co_await fetchState(target);
    if (!report || !m_registry.contains(target)) {
        co_return false;
    }
    if (report->incarnation != m_registry.view(target).incarnation) {
        // Either the announcement of the new process is still on the way, or this reply is of the old one.
        co_return false;
    }
    std::set<AdapterRef> resident;
    bool foreignLoad = false;
    for (const auto &held : report->held) {
        if (!held.loading) {
            resident.insert(held.adapter);
        } else if (m_registry.stage(target, held.adapter) != ResidencyStage::Loading) {
            // A load of an earlier coordinator: its outcome shows in a later read.
            foreignLoad = true;
        }
    }
    m_registry.setHeld(target, resident, askedAt, Clock::now());
    followed->incarnation = report->incarnation;
    followed->readWanted = foreignLoad;
    m_hooks.onChange();
    co_return true;
}

asio::awaitable<std::optional<int>> TargetOrders::readRunning(TargetId target, AdapterRef adapter)
{
    const auto report = co_await fetchState(target);
    if (!report) {
        co_return std::nullopt;
    }
    for (const auto &held : report->held) {
        if (held.adapter == adapter) {
            co_return held.running;
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
    const auto what = request.target;
    const auto response = co_await httpExchange(endpoint, std::move(request), m_options.orderDeadline);
    if (response.has_value() && response.value().status == 200) {
        co_return true;
    }
    LogLine(LogLevel::Warning, "order_failed")
        .add("target", target.value())
        .add("order", what)
        .add("reason", response.has_error() ? response.error().detail : response.value().body);
    co_return false;
}

/// Reads the state until it tells whether the adapter is resident. Nothing when the target does not say so in time.
asio::awaitable<std::optional<bool>> TargetOrders::settle(TargetId target, AdapterRef adapter, TimePoint deadline)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (m_registry.contains(target)) {
        if (const auto report = co_await fetchState(target)) {
            const auto held = std::find_if(report->held.begin(), report->held.end(),
                                           [&](const auto &item) { return item.adapter == adapter; });
            if (held == report->held.end()) {
                co_return false;
            }
            if (!held->loading) {
                co_return true;
            }
        }
        if (Clock::now() >= deadline) {
            break;
        }
        timer.expires_after(SettleInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return std::nullopt;
}

void TargetOrders::apply(const TargetId &target, const AdapterRef &adapter, ResidencyEvent event)
{
    if (m_registry.apply(target, adapter, event, Clock::now())) {
        m_hooks.onChange();
    }
}

void TargetOrders::load(const TargetId &target, const AdapterRef &adapter, std::function<void()> onEnded)
{
    apply(target, adapter, ResidencyEvent::LoadOrdered);
    m_supervisor.startTemporary("load_" + std::to_string(++m_lastTask),
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
    auto request = loadOrder(adapter, m_hooks.loraPath(adapter), nextStamp());
    bool loaded = co_await sendOrder(target, std::move(request));
    if (!loaded) {
        // The order may have succeeded although its answer did not come, and then holds a slot.
        loaded = (co_await settle(target, adapter, deadline)).value_or(false);
        readState(target);
    }
    // After a restart of the target, its adapters were forgotten and this outcome is that of the old process.
    if (m_registry.contains(target) && m_registry.view(target).incarnation == incarnation) {
        apply(target, adapter, loaded ? ResidencyEvent::Loaded : ResidencyEvent::LoadFailed);
    }
}

void TargetOrders::retire(const TargetId &target, const AdapterRef &adapter)
{
    apply(target, adapter, ResidencyEvent::RetireStarted);
    m_supervisor.startTemporary("retire_" + std::to_string(++m_lastTask),
                                [this, target, adapter] { return retireTask(target, adapter); });
}

asio::awaitable<void> TargetOrders::retireTask(TargetId target, AdapterRef adapter)
{
    const auto incarnation = m_registry.contains(target) ? m_registry.view(target).incarnation : Incarnation();
    const auto same = [this, target, incarnation] {
        return m_registry.contains(target) && m_registry.view(target).incarnation == incarnation;
    };
    const ReleaseRounds::ReadRunning running = [this, target, adapter] {
        return readRunning(target, adapter);
    };
    const bool released = co_await m_rounds.run(target, adapter, running);
    if (!same()) {
        co_return;
    }
    if (!released) {
        apply(target, adapter, ResidencyEvent::RetireRefused);
        co_return;
    }
    const auto deadline = Clock::now() + m_options.orderDeadline;
    auto request = unloadOrder(adapter, nextStamp());
    bool unloaded = co_await sendOrder(target, std::move(request));
    if (!unloaded) {
        const auto resident = co_await settle(target, adapter, deadline);
        unloaded = resident.has_value() && !*resident;
        if (!unloaded) {
            // The order may still take effect until its deadline; no request may use the adapter before.
            asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
            co_await timer.async_wait(asio::use_awaitable);
            unloaded = !(co_await settle(target, adapter, deadline)).value_or(true);
        }
        readState(target);
    }
    if (same()) {
        apply(target, adapter, unloaded ? ResidencyEvent::Unloaded : ResidencyEvent::RetireRefused);
    }
    m_hooks.onOrderEnded();
}

} // namespace tamarackcove
