#include "StreamWriter.h"

#include "EngineReplies.h"
#include "tamarackcove/Http/HttpResponder.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

// A stream breaks or stalls after this many pieces, so that the reader has an offset to resume from.
static constexpr std::size_t PiecesBeforeFault = 2;
static constexpr milliseconds CallerCheckInterval{50};

static bool takeOne(int &left)
{
    if (left <= 0) {
        return false;
    }
    --left;
    return true;
}

StreamWriter::StreamWriter(EngineState &state, HttpResponder &responder, std::shared_ptr<EngineJob> job,
                           PassSilence passSilence)
    : m_state(state)
    , m_responder(responder)
    , m_job(std::move(job))
    , m_passSilence(std::move(passSilence))
{
}

asio::awaitable<bool> StreamWriter::writeEvent(std::string event)
{
    if (!co_await m_passSilence()) {
        co_return false;
    }
    if (m_state.faults.pieceDelay > milliseconds(0)) {
        asio::steady_timer timer(m_state.executor, m_state.faults.pieceDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto written = co_await m_responder.writePiece(event);
    co_return written.has_value();
}

asio::awaitable<bool> StreamWriter::writeToken(std::size_t offset)
{
    const bool last = offset + 1 == m_job->tokens;
    if (!m_held && !last && m_state.chance(m_state.faults.reorderPieces)) {
        m_held = offset;
        co_return true;
    }
    bool written = co_await writeEvent(tokenEvent(*m_job, offset));
    if (written && m_state.chance(m_state.faults.repeatPieces)) {
        written = co_await writeEvent(tokenEvent(*m_job, offset));
    }
    if (written && m_held) {
        written = co_await writeEvent(tokenEvent(*m_job, *m_held));
        m_held.reset();
    }
    ++m_written;
    co_return written;
}

asio::awaitable<void> StreamWriter::stall()
{
    asio::steady_timer timer(m_state.executor);
    while (!m_responder.callerGone()) {
        timer.expires_after(CallerCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> StreamWriter::write(std::size_t from)
{
    auto head = streamHead("text/event-stream");
    head.headers.set("x-request-id", m_job->requestId);
    if (!co_await m_passSilence()) {
        co_return;
    }
    const auto begun = co_await m_responder.beginStream(std::move(head));
    if (begun.has_error()) {
        co_return;
    }
    m_breaks = takeOne(m_state.faults.breakNextStreams);
    m_stalls = !m_breaks && takeOne(m_state.faults.stallNextStreams);
    auto offset = from;
    while (true) {
        while (offset < m_job->produced) {
            if (m_written >= PiecesBeforeFault && (m_breaks || m_stalls)) {
                if (m_stalls) {
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
