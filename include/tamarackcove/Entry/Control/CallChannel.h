#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Control/ControlOptions.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Wire/Message.h"
#include "tamarackcove/Wire/WireError.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <vector>

namespace tamarackcove {

class ControlHosts;
class FramedConnection;

/// Finds the control leader and sends calls to it. A connection carries one call at a time; idle connections are
/// reused.
///
/// A call may be sent more than once, so the control group must handle it idempotently.
/// Thread safety: used on one thread; several calls may be in progress at once.
class CallChannel
{
public:
    /// Precondition: hosts outlives the channel.
    CallChannel(const ControlOptions &options, ControlHosts &hosts);
    ~CallChannel();
    CallChannel(const CallChannel &) = delete;
    CallChannel &operator=(const CallChannel &) = delete;

    /// Returns the leader's answer, never a `refused` message: a call that the leader refuses fails with
    /// ControlErrorCode::Refused, and a call that a host refuses for another reason is sent again.
    boost::asio::awaitable<Result<Message, ControlError>> call(Message message, milliseconds timeout);

private:
    struct IdleConnection
    {
        std::size_t host = 0;
        TimePoint idleSince;
        std::unique_ptr<FramedConnection> connection;
    };
    struct Attempt
    {
        /// Whether the host may have received the call.
        bool mayHaveBeenReceived = false;
        Result<Message, WireError> answer = WireError{};
    };

    boost::asio::awaitable<Attempt> attempt(std::size_t host, const Message &message, TimePoint deadline);
    std::unique_ptr<FramedConnection> takeIdleConnection(std::size_t host);
    void dropIdleConnections(std::size_t host);

    const ControlOptions &m_options;
    ControlHosts &m_hosts;
    std::vector<IdleConnection> m_idleConnections;
};

} // namespace tamarackcove
