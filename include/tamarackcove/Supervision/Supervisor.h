#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Supervision/RestartPolicy.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Owns named child tasks: starts them, restarts them according to their policy, and stops them in reverse order of
/// their start.
///
/// A child is a coroutine. An exception that leaves the coroutine is a failure, except for a system_error while the
/// child is being stopped, such as operation_aborted, which is the normal end of a cancelled child.
///
/// Thread safety: every method must be called on the thread that runs the executor.
class Supervisor
{
public:
    using Body = std::function<boost::asio::awaitable<void>()>;

    struct Hooks
    {
        /// Called when a child has exceeded RestartPolicy::maxRestarts. The supervisor logs the escalation and does
        /// not restart the child, whether or not the hook is set.
        std::function<void(std::string_view child)> onEscalate;
    };

    Supervisor(boost::asio::any_io_executor executor, std::string name, Hooks hooks = {});
    /// Precondition: stop() has completed, or the executor no longer runs.
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /// Starts a child. Does nothing once stop() has been called.
    void start(std::string name, Body body, RestartPolicy policy = {});

    /// Starts the task of one connection or request. It is never restarted and is removed from the supervisor when it
    /// ends.
    void startTemporary(std::string name, Body body);

    /// Cancels the child with this name and returns when the child has ended. Does nothing when there is no such child.
    boost::asio::awaitable<void> stopChild(std::string_view name);

    /// Cancels the children in reverse order of their start, each after the one before has ended.
    boost::asio::awaitable<void> stop();

    /// Waits until there are no children, at most until the deadline; start() still works meanwhile. Returns whether
    /// there are no children.
    boost::asio::awaitable<bool> waitForChildren(TimePoint deadline);

    [[nodiscard]] std::size_t childCount() const;
    [[nodiscard]] bool hasChild(std::string_view name) const;
    [[nodiscard]] boost::asio::any_io_executor executor() const;

private:
    struct Child;
    using ChildList = std::list<std::shared_ptr<Child>>;

    boost::asio::awaitable<void> runChild(std::shared_ptr<Child> child);
    boost::asio::awaitable<bool> backOff(Child &child);
    boost::asio::awaitable<void> endChild(std::shared_ptr<Child> child);
    void removeChild(const std::shared_ptr<Child> &child);

    boost::asio::any_io_executor m_executor;
    std::string m_name;
    Hooks m_hooks;
    ChildList m_children;
    bool m_stopping = false;
};

} // namespace tamarackcove
