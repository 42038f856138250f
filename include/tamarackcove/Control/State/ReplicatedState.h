#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Configuration/ConfigurationState.h"
#include "tamarackcove/Control/StateMachineHooks.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <set>
#include <string>

namespace tamarackcove {

/// Applies the commands of the replicated log to the configuration state and resumes the coroutines that wait for a new
/// revision.
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

    /// Returns once the serving revision is newer than `knownRevision`, at the latest after the timeout.
    boost::asio::awaitable<void> waitForNewer(Revision knownRevision, milliseconds timeout);

private:
    std::string apply(std::chrono::system_clock::time_point time, std::string_view command);

    void wakeWaiters();

    boost::asio::any_io_executor m_executor;
    ConfigurationState m_state;
    /// Timers of the coroutines in waitForNewer(); cancelled at each new revision.
    std::set<Timer *> m_waiters;
};

} // namespace tamarackcove
