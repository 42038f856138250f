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

/// Relays one completion stream to its caller, over as many connections to the target as it takes.
///
/// Pieces that arrive together are written together. Nothing is written before the first token has come, so that
/// until then another target can take the request.
/// Thread safety: used on one thread, by one coroutine.
class StreamRelay
{
public:
    enum class End {
        /// The caller has the whole stream.
        Complete,
        /// The connection broke, fell silent or skipped tokens; resume at nextOffset().
        Broken,
        /// The peer sent an error instead of a token; the caller has it, and the stream is at its end.
        PeerError,
        CallerGone,
    };

    struct Options
    {
        /// A stream without a byte for this long is broken.
        milliseconds progressTimeout = seconds(2);
        /// Delivered bytes to keep for the recorded response; 0 keeps none.
        std::size_t maxRecorded = 0;
    };

    struct Hooks
    {
        /// Called before the first byte goes to the caller.
        std::function<void()> onFirst;
    };

    /// Precondition: the responder outlives the relay.
    StreamRelay(HttpResponder &responder, Options options, Hooks hooks);

    /// Reads the body that follows this head and writes it to the caller. Precondition: the head was read.
    boost::asio::awaitable<End> relay(HttpConnection &connection, const HttpResponse &head);

    /// Ends the stream for the caller with an error event. Precondition: started() and no end was written.
    boost::asio::awaitable<void> fail(std::string errorEvent);

    [[nodiscard]] bool started() const;
    [[nodiscard]] std::uint64_t nextOffset() const;
    /// When the last new token came.
    [[nodiscard]] TimePoint lastProgress() const;
    /// The delivered bytes; empty when they exceed the bound.
    [[nodiscard]] const std::string &recorded() const;
    [[nodiscard]] std::uint64_t tokens() const;

private:
    /// Sorts an event into the output. False when the rest must be fetched anew.
    bool take(const StreamEvent &event);
    void keepRecord();

    HttpResponder &m_responder;
    Options m_options;
    Hooks m_hooks;
    StreamAssembler m_assembler;
    EventScanner m_scanner;
    std::string m_out;
    std::string m_recorded;
    bool m_recordTooLong = false;
    bool m_doneSeen = false;
    bool m_peerError = false;
    TimePoint m_lastProgress;
};

} // namespace tamarackcove
