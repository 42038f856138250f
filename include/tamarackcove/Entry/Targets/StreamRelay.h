#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Targets/EventScanner.h"
#include "tamarackcove/Http/HttpResponse.h"
#include "tamarackcove/Requests/StreamAssembler.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace tamarackcove {

class HttpConnection;
class HttpResponder;
struct HttpError;

/// Relays one completion stream to its caller. The stream may continue over several connections to the target.
///
/// Events that arrive together are written together. Nothing is written to the caller before the first event can be
/// passed on, so that until then another target can take the request.
/// Thread safety: used on one thread, by one coroutine.
class StreamRelay
{
public:
    enum class End {
        /// The caller has the whole stream.
        Complete,
        /// The connection broke, timed out or skipped tokens; the stream can be resumed at nextOffset().
        Broken,
        /// The peer sent an error instead of a token. The error was passed on to the caller and the stream was ended.
        PeerError,
        CallerGone,
        /// Bytes still arrive after Options::endTime.
        TooLate,
    };

    struct Options
    {
        /// A connection that receives no byte for this long counts as broken.
        milliseconds progressTimeout = seconds(2);
        /// Limit of the recorded response in bytes; 0 records nothing.
        std::size_t recordLimit = 0;
        /// No further bytes are read after this time.
        TimePoint endTime = TimePoint::max();
    };

    struct Hooks
    {
        /// Called before the first byte is written to the caller.
        std::function<void()> onStreamStart;
        /// Called when the connection broke or timed out.
        std::function<void(const HttpError &)> onBroken;
    };

    /// Precondition: the responder outlives the relay.
    StreamRelay(HttpResponder &responder, Options options, Hooks hooks);

    /// Reads the body that follows this head from the connection and writes it to the caller. Precondition: the head
    /// was read from the same connection.
    boost::asio::awaitable<End> relay(HttpConnection &connection, const HttpResponse &head);

    /// Ends the stream for the caller with an error event. Precondition: started() and no end was written.
    boost::asio::awaitable<void> endWithError(std::string errorEvent);

    [[nodiscard]] bool started() const;
    [[nodiscard]] std::uint64_t nextOffset() const;
    /// When bytes for the caller last arrived; before that, when the relay was constructed.
    [[nodiscard]] TimePoint lastOutputAt() const;
    /// The bytes written to the caller, for the record of the response; empty if they exceed Options::recordLimit.
    [[nodiscard]] const std::string &recorded() const;
    [[nodiscard]] std::uint64_t tokens() const;

private:
    /// Adds the event to the output if all tokens before it were received. Returns false if the stream must be resumed
    /// at nextOffset(), because StreamAssembler cannot use the token.
    bool handleEvent(const StreamEvent &event);
    /// Appends the output to the record of the response.
    void recordOutput();

    HttpResponder &m_responder;
    Options m_options;
    Hooks m_hooks;
    StreamAssembler m_assembler;
    EventScanner m_scanner;
    std::string m_output;
    std::string m_recorded;
    bool m_recordTooLong = false;
    bool m_doneSeen = false;
    bool m_peerError = false;
    TimePoint m_lastOutputAt;
};

} // namespace tamarackcove
