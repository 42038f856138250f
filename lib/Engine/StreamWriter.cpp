#include "StreamWriter.h"

#include "EngineReplies.h"
#include "tamarackcove/Http/HttpResponder.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

// Break and stall faults take effect after this many pieces, so that the reader has an offset to resume from.
static constexpr std::size_t PiecesBeforeFault = 2;
static constexpr milliseconds CallerCheckInterval{50};

static bool consumeOne(int &remaining)
{
    if (remaining <= 0) {
        return false;
    }
    --remaining;
    return true;
}

StreamWriter::StreamWriter(EngineState &state, HttpResponder &responder, std::shared_ptr<EngineJob> job,
                           WaitWhileSilenced waitWhileSilenced)
    : m_state(state)
    , m_responder(responder)
    , m_job(std::move(job))
    , m_waitWhileSilenced(std::move(waitWhileSilenced))
{
}

asio::awaitable<bool> StreamWriter::writeEvent(std::string event)
{
    if (!co_await m_waitWhileSilenced()) {
        co_return false;
    }
    if (m_state.faults.pieceDelay > milliseconds(0)) {
        Timer timer(m_state.executor, m_state.faults.pieceDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto written = co_await m_responder.writePiece(event);
    co_return written.has_value();
}

asio::awaitable<bool> StreamWriter::writeToken(std::size_t offset)
{
    const bool last = offset + 1 == m_job->tokens;
    if (!m_deferredOffset && !last && m_state.sampleFault(m_state.faults.pieceReorderProbability)) {
        m_deferredOffset = offset;
        co_return true;
    }
    bool written = co_await writeEvent(tokenEvent(*m_job, offset));
    if (written && m_state.sampleFault(m_state.faults.pieceRepeatProbability)) {
        written = co_await writeEvent(tokenEvent(*m_job, offset));
    }
    if (written && m_deferredOffset) {
        written = co_await writeEvent(tokenEvent(*m_job, *m_deferredOffset));
        m_deferredOffset.reset();
    }
    ++m_writtenTokens;
    co_return written;
}

asio::awaitable<void> StreamWriter::stall()
{
    Timer timer(m_state.executor);
    while (!m_responder.callerGone()) {
        timer.expires_after(CallerCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> StreamWriter::write(std::size_t from)
{
    auto head = streamHead("text/event-stream");
    head.headers.set("x-request-id", m_job->requestId);
    if (!co_await m_waitWhileSilenced()) {
        co_return;
    }
    const auto begun = co_await m_responder.beginStream(std::move(head));
    if (begun.has_error()) {
        co_return;
    }
    m_breakStream = consumeOne(m_state.faults.breakNextStreams);
    m_stallStream = !m_breakStream && consumeOne(m_state.faults.stallNextStreams);
    auto offset = from;
    while (true) {
        while (offset < m_job->produced) {
            if (m_writtenTokens >= PiecesBeforeFault && (m_breakStream || m_stallStream)) {
                if (m_stallStream) {
                    co_await stall();
                }
                co_return;
            }
            if (!co_await writeToken(offset)) {
                co_return;
            }
            ++offset;
        }
        if (m_job->state != JobState::Active) {
            break;
        }
        boost::system::error_code ignored;
        co_await m_job->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (m_job->state == JobState::Done && co_await writeEvent("data: [DONE]\n\n")) {
        (void)co_await m_responder.endStream();
    }
}

} // namespace tamarackcove
