#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Configuration/ConfigurationState.h"
#include "tamarackcove/Control/StateMachineHooks.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <string>

namespace tamarackcove {

/// Feeds the configuration state from the replicated log and wakes those who wait for a new revision.
///
/// Thread safety: used on the thread of the executor.
class ReplicatedState
{
public:
    explicit ReplicatedState(boost::asio::any_io_executor executor);
    ReplicatedState(const ReplicatedState &) = delete;
    ReplicatedState &operator=(const ReplicatedState &) = delete;

    /// The hooks are valid as long as this object.
    [[nodiscard]] StateMachineHooks hooks();
    [[nodiscard]] const ConfigurationState &state() const;

    /// Returns once the revision is newer than `known`, at the latest after the wait.
    boost::asio::awaitable<void> waitForNewer(Revision known, milliseconds wait);

private:
    std::string apply(std::chrono::system_clock::time_point time, std::string_view command);

    void wakeWaiters();

    boost::asio::any_io_executor m_executor;
    ConfigurationState m_state;
    /// The timers of those who wait; cancelled at each new revision.
    std::set<boost::asio::steady_timer *> m_waiters;
};

} // namespace tamarackcove
