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
    , m_lastOutputAt(Clock::now())
{
}

bool StreamRelay::handleEvent(const StreamEvent &event)
{
    if (event.doneMarker) {
        m_doneSeen = true;
        return true;
    }
    if (event.peerError) {
        m_peerError = true;
        m_output += event.raw;
        return true;
    }
    if (!event.offset) {
        // Events without a token, such as comments and usage figures, are passed on in their order of arrival,
        // unless tokens before them are missing.
        if (!m_assembler.hasGap()) {
            m_output += event.raw;
        }
        return true;
    }
    const auto verdict = m_assembler.place(*event.offset, 1, event.raw);
    if (verdict == StreamAssembler::Verdict::Unusable) {
        return false;
    }
    if (event.lastToken) {
        m_assembler.noteEnd(*event.offset + 1);
    }
    if (verdict == StreamAssembler::Verdict::Next) {
        m_output += event.raw;
        m_assembler.takeReady(m_output);
    }
    return true;
}

void StreamRelay::recordOutput()
{
    if (m_options.recordLimit == 0 || m_recordTooLong) {
        return;
    }
    m_recordTooLong = m_recorded.size() + m_output.size() > m_options.recordLimit;
    if (m_recordTooLong) {
        m_recorded.clear();
    } else {
        m_recorded += m_output;
    }
}

asio::awaitable<StreamRelay::End> StreamRelay::relay(HttpConnection &connection, const HttpResponse &head)
{
    m_scanner.reset();
    m_doneSeen = false;
    while (true) {
        if (Clock::now() > m_options.endTime) {
            co_return End::TooLate;
        }
        auto piece = co_await connection.readPiece(m_options.progressTimeout);
        if (piece.has_error()) {
            m_hooks.onBroken(piece.error());
            co_return End::Broken;
        }
        if (!piece.value()) {
            break;
        }
        const bool usable
            = m_scanner.feed(*piece.value(), [this](const StreamEvent &event) { return handleEvent(event); });
        const bool complete = m_doneSeen && m_assembler.complete();
        if (complete) {
            m_output += DoneEvent;
        }
        if (!m_output.empty()) {
            m_lastOutputAt = Clock::now();
            if (!m_responder.started()) {
                m_hooks.onStreamStart();
                if ((co_await m_responder.beginStream(head)).has_error()) {
                    co_return End::CallerGone;
                }
            }
            recordOutput();
            const auto written = co_await m_responder.writePiece(m_output);
            m_output.clear();
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
            // Only the end of the body remains. Reading it makes the connection reusable.
            (void)co_await connection.readPiece(m_options.progressTimeout);
            co_return ended.has_value() ? End::Complete : End::CallerGone;
        }
        if (!usable || m_doneSeen) {
            break;
        }
    }
    // The body ended before the last token, or StreamAssembler could not use a token.
    co_return End::Broken;
}

asio::awaitable<void> StreamRelay::endWithError(std::string errorEvent)
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

TimePoint StreamRelay::lastOutputAt() const
{
    return m_lastOutputAt;
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
