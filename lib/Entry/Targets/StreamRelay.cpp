#include "tamarackcove/Entry/Targets/StreamRelay.h"

#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"

#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr std::string_view DoneEvent = "data: [DONE]\n\n";

StreamRelay::StreamRelay(HttpResponder &responder, Options options, Hooks hooks)
    : m_responder(responder)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_lastProgress(Clock::now())
{
}

bool StreamRelay::take(const StreamEvent &event)
{
    if (event.done) {
        m_doneSeen = true;
        return true;
    }
    if (event.error) {
        m_peerError = true;
        m_out += event.raw;
        return true;
    }
    if (!event.offset) {
        // Comments and usage figures are no tokens; they are passed on where they come.
        if (!m_assembler.hasGap()) {
            m_out += event.raw;
        }
        return true;
    }
    const auto verdict = m_assembler.place(*event.offset, 1, event.raw);
    if (verdict == StreamAssembler::Verdict::Unusable) {
        return false;
    }
    if (event.last) {
        m_assembler.noteEnd(*event.offset + 1);
    }
    if (verdict == StreamAssembler::Verdict::Next) {
        m_out += event.raw;
        m_assembler.takeReady(m_out);
    }
    return true;
}

void StreamRelay::keepRecord()
{
    if (m_options.maxRecorded == 0 || m_recordTooLong) {
        return;
    }
    m_recordTooLong = m_recorded.size() + m_out.size() > m_options.maxRecorded;
    if (m_recordTooLong) {
        m_recorded.clear();
    } else {
        m_recorded += m_out;
    }
}

asio::awaitable<StreamRelay::End> StreamRelay::relay(HttpConnection &connection, const HttpResponse &head)
{
    m_scanner.reset();
    m_doneSeen = false;
    while (true) {
        auto piece = co_await connection.readPiece(m_options.progressTimeout);
        if (piece.has_error()) {
            co_return End::Broken;
        }
        if (!piece.value()) {
            break;
        }
        const bool usable = m_scanner.feed(*piece.value(), [this](const StreamEvent &event) { return take(event); });
        const bool complete = m_doneSeen && m_assembler.complete();
        if (complete) {
            m_out += DoneEvent;
        }
        if (!m_out.empty()) {
            m_lastProgress = Clock::now();
            if (!m_responder.started()) {
                m_hooks.onFirst();
                if ((co_await m_responder.beginStream(head)).has_error()) {
                    co_return End::CallerGone;
                }
            }
            keepRecord();
            const auto written = co_await m_responder.writePiece(m_out);
            m_out.clear();
            if (written.has_error()) {
                co_return End::CallerGone;
            }
        }
        if (m_peerError) {
            (void)co_await m_responder.endStream();
            co_return End::PeerError;
        }
        if (complete) {
            const auto ended = co_await m_responder.endStream();
            // The rest of the body is its end, which makes the connection reusable.
            (void)co_await connection.readPiece(m_options.progressTimeout);
            co_return ended.has_value() ? End::Complete : End::CallerGone;
        }
        if (!usable || m_doneSeen) {
            break;
        }
    }
    // The body ended, but not with its last token: the stream is incomplete.
    co_return End::Broken;
}

asio::awaitable<void> StreamRelay::fail(std::string errorEvent)
{
    const auto written = co_await m_responder.writePiece(errorEvent);
    if (written.has_value()) {
        (void)co_await m_responder.endStream();
    }
}

bool StreamRelay::started() const
{
    return m_responder.started();
}

std::uint64_t StreamRelay::nextOffset() const
{
    return m_assembler.nextOffset();
}

TimePoint StreamRelay::lastProgress() const
{
    return m_lastProgress;
}

const std::string &StreamRelay::recorded() const
{
    return m_recorded;
}

std::uint64_t StreamRelay::tokens() const
{
    return m_assembler.nextOffset();
}

} // namespace tamarackcove
