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

/// Sends calls to the control leader and finds it. A connection carries one call at a time; idle ones are kept.
///
/// A call may be sent more than once, so its effect must not depend on how often.
/// Thread safety: used on one thread; several calls may be in progress at once.
class CallChannel
{
public:
    /// Precondition: hosts outlives the channel.
    CallChannel(const ControlOptions &options, ControlHosts &hosts);
    ~CallChannel();
    CallChannel(const CallChannel &) = delete;
    CallChannel &operator=(const CallChannel &) = delete;

    /// Returns the leader's answer, which is never a `refused` message.
    boost::asio::awaitable<Result<Message, ControlError>> call(Message message, milliseconds timeout);

private:
    struct Idle
    {
        std::size_t host = 0;
        TimePoint since;
        std::unique_ptr<FramedConnection> connection;
    };
    struct Attempt
    {
        /// Whether the host may have received the call.
        bool sent = false;
        Result<Message, WireError> answer = WireError{};
    };

    boost::asio::awaitable<Attempt> attempt(std::size_t host, const Message &message, TimePoint deadline);
    std::unique_ptr<FramedConnection> takeIdle(std::size_t host);
    void dropIdle(std::size_t host);

    const ControlOptions &m_options;
    ControlHosts &m_hosts;
    std::vector<Idle> m_idle;
};

} // namespace tamarackcove
