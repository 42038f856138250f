#pragma once

#include "EngineState.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace tamarackcove {

class HttpResponder;

/// Writes the tokens of a job as server-sent events and injects the stream faults of EngineFaults.
///
/// Thread safety: used on the thread of the state's executor, by one coroutine.
class StreamWriter
{
public:
    /// Waits while the connection is silenced by a fault. Returns false if the caller disconnected meanwhile.
    using WaitWhileSilenced = std::function<boost::asio::awaitable<bool>()>;

    /// Precondition: state and responder outlive this object.
    StreamWriter(EngineState &state, HttpResponder &responder, std::shared_ptr<EngineJob> job,
                 WaitWhileSilenced waitWhileSilenced);

    /// Writes the tokens from an offset on, and the end of the stream. Returns without writing the end if the job was
    /// cancelled or aborted, a fault broke the stream or the caller disconnected.
    boost::asio::awaitable<void> write(std::size_t from);

private:
    boost::asio::awaitable<bool> writeEvent(std::string event);
    boost::asio::awaitable<bool> writeToken(std::size_t offset);
    boost::asio::awaitable<void> stall();

    EngineState &m_state;
    HttpResponder &m_responder;
    std::shared_ptr<EngineJob> m_job;
    WaitWhileSilenced m_waitWhileSilenced;
    std::size_t m_writtenTokens = 0;
    /// Offset of a token that is sent after its successor, to inject reordering.
    std::optional<std::size_t> m_deferredOffset;
    bool m_breakStream = false;
    bool m_stallStream = false;
};

} // namespace tamarackcove
