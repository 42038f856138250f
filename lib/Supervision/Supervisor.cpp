#include "tamarackcove/Supervision/Supervisor.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Timer.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <cassert>
#include <deque>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

struct Supervisor::Child
{
    Child(const asio::any_io_executor &executor, std::string childName, Body childBody, RestartPolicy childPolicy)
        : name(std::move(childName))
        , body(std::move(childBody))
        , policy(childPolicy)
        , endedEvent(executor, TimePoint::max())
    {
    }

    std::string name;
    Body body;
    RestartPolicy policy;
    asio::cancellation_signal cancel;
    /// A timer that never expires. It is cancelled when the child has ended, which completes the waits of endChild().
    Timer endedEvent;
    bool hasEnded = false;
    bool stopping = false;
    milliseconds nextBackoff{0};
    std::deque<TimePoint> restarts;
};

Supervisor::Supervisor(asio::any_io_executor executor, std::string name, Hooks hooks)
    : m_executor(std::move(executor))
    , m_name(std::move(name))
    , m_hooks(std::move(hooks))
{
}

Supervisor::~Supervisor() = default;

void Supervisor::start(std::string name, Body body, RestartPolicy policy)
{
    if (m_stopping) {
        return;
    }
    auto child = std::make_shared<Child>(m_executor, std::move(name), std::move(body), policy);
    child->nextBackoff = policy.firstBackoff;
    m_children.push_back(child);
    asio::co_spawn(m_executor, runChild(child),
                   asio::bind_cancellation_slot(child->cancel.slot(), [this, child](const std::exception_ptr &) {
                       child->hasEnded = true;
                       child->endedEvent.cancel();
                       removeChild(child);
                   }));
}

void Supervisor::startTemporary(std::string name, Body body)
{
    start(std::move(name), std::move(body), RestartPolicy{.restart = Restart::Never});
}

asio::awaitable<void> Supervisor::runChild(std::shared_ptr<Child> child)
{
    // Runs the body only after the caller of start() has returned to the executor.
    co_await asio::post(m_executor, asio::use_awaitable);
    while (!child->stopping) {
        bool failed = false;
        try {
            co_await child->body();
        } catch (const boost::system::system_error &error) {
            if (child->stopping) {
                co_return;
            }
            failed = true;
            LogLine(LogLevel::Warning, "task_failed")
                .add("supervisor", m_name)
                .add("task", child->name)
                .add("reason", error.code().message());
        } catch (const std::exception &error) {
            failed = true;
            LogLine(LogLevel::Warning, "task_failed")
                .add("supervisor", m_name)
                .add("task", child->name)
                .add("reason", std::string_view(error.what()));
        }
        const auto restart = child->policy.restart;
        if (child->stopping || restart == Restart::Never || (restart == Restart::OnFailure && !failed)) {
            co_return;
        }
        if (!co_await backOff(*child)) {
            co_return;
        }
    }
}

asio::awaitable<bool> Supervisor::backOff(Child &child)
{
    const auto now = Clock::now();
    auto &restarts = child.restarts;
    restarts.push_back(now);
    while (!restarts.empty() && now - restarts.front() > child.policy.window) {
        restarts.pop_front();
    }
    if (restarts.size() == 1) {
        child.nextBackoff = child.policy.firstBackoff;
    }
    if (std::cmp_greater(restarts.size(), child.policy.maxRestarts)) {
        LogLine(LogLevel::Error, "task_gave_up").add("supervisor", m_name).add("task", child.name);
        if (m_hooks.onEscalate) {
            m_hooks.onEscalate(child.name);
        }
        co_return false;
    }
    Timer timer(m_executor, child.nextBackoff);
    child.nextBackoff = std::min(child.nextBackoff * 2, child.policy.maxBackoff);
    co_await timer.async_wait(asio::use_awaitable);
    co_return true;
}

asio::awaitable<void> Supervisor::endChild(std::shared_ptr<Child> child)
{
    child->stopping = true;
    child->cancel.emit(asio::cancellation_type::terminal);
    while (!child->hasEnded) {
        boost::system::error_code ignored;
        co_await child->endedEvent.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> Supervisor::stopChild(std::string_view name)
{
    const auto found
        = std::find_if(m_children.begin(), m_children.end(), [name](const auto &child) { return child->name == name; });
    if (found != m_children.end()) {
        co_await endChild(*found);
    }
}

asio::awaitable<void> Supervisor::stop()
{
    m_stopping = true;
    while (!m_children.empty()) {
        co_await endChild(m_children.back());
    }
}

asio::awaitable<bool> Supervisor::waitForChildren(TimePoint deadline)
{
    constexpr milliseconds PollInterval{10};
    Timer timer(m_executor);
    while (!m_children.empty() && Clock::now() < deadline) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return m_children.empty();
}

std::size_t Supervisor::childCount() const
{
    return m_children.size();
}

bool Supervisor::hasChild(std::string_view name) const
{
    return std::any_of(m_children.begin(), m_children.end(), [name](const auto &child) { return child->name == name; });
}

asio::any_io_executor Supervisor::executor() const
{
    return m_executor;
}

void Supervisor::removeChild(const std::shared_ptr<Child> &child)
{
    m_children.remove(child);
}

} // namespace tamarackcove
