#pragma once

#include "EngineState.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace tamarackcove {

class HttpResponder;

/// Writes the tokens of a job as server-sent events from an offset on, with the faults that are switched on. Returns
/// without the end of the stream when the job was aborted or the caller is gone.
///
/// Thread safety: used on the thread of the state's executor, by one coroutine.
class StreamWriter
{
public:
    /// Waits while the connection is to be silent; false when the caller is gone.
    using PassSilence = std::function<boost::asio::awaitable<bool>()>;

    /// Precondition: state and responder outlive this object.
    StreamWriter(EngineState &state, HttpResponder &responder, std::shared_ptr<EngineJob> job, PassSilence passSilence);

    boost::asio::awaitable<void> write(std::size_t from);

private:
    boost::asio::awaitable<bool> writeEvent(std::string event);
    boost::asio::awaitable<bool> writeToken(std::size_t offset);
    boost::asio::awaitable<void> stall();

    EngineState &m_state;
    HttpResponder &m_responder;
    std::shared_ptr<EngineJob> m_job;
    PassSilence m_passSilence;
    std::size_t m_written = 0;
    /// A token that waits to be sent after its successor.
    std::optional<std::size_t> m_held;
    bool m_breaks = false;
    bool m_stalls = false;
};

} // namespace tamarackcove
