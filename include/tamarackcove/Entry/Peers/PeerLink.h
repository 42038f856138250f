#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Wire/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace tamarackcove {

class FramedConnection;

/// One established connection to another entry: reads messages, writes queued ones, and sends heartbeats.
///
/// Thread safety: used on one thread.
class PeerLink
{
public:
    struct Options
    {
        /// The link fails when nothing arrives for this long.
        milliseconds silence = milliseconds(2500);
        milliseconds writeTimeout = seconds(2);
        /// More queued messages than this end the link; the peer gets a full view on the next one.
        std::size_t maxQueued = 4096;
    };

    struct Hooks
    {
        std::function<void(const Message &message)> onMessage;
        /// Makes the next heartbeat.
        std::function<Message()> makeBeat;
        /// The time until the next heartbeat. One timer for all links would cost about 10% less CPU for each message,
        /// 0.01% of a core with 31 peers.
        std::function<milliseconds()> beatInterval;
    };

    PeerLink(const boost::asio::any_io_executor &executor, EntryId peer, std::unique_ptr<FramedConnection> connection,
             Options options, Hooks hooks);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Runs until the link fails or is closed, and returns why.
    boost::asio::awaitable<std::string> run();
    /// Queues a message.
    void send(Message message);
    /// Makes the next heartbeat due now.
    void beatNow();
    void close();

    [[nodiscard]] const EntryId &peer() const;
    [[nodiscard]] std::uint64_t bytesRead() const;
    [[nodiscard]] std::uint64_t bytesWritten() const;
    [[nodiscard]] std::uint64_t messagesRead() const;
    [[nodiscard]] std::uint64_t messagesWritten() const;

    /// Notes the sending of a heartbeat and returns its number.
    std::uint64_t noteBeatSent(TimePoint now);
    /// When the heartbeat with this number was sent, if it is one of the last few.
    [[nodiscard]] std::optional<TimePoint> beatSentAt(std::uint64_t beat) const;

    /// The last heartbeat of the peer, for the echo.
    std::uint64_t lastPeerBeat = 0;
    /// Which load reports the peer has: see AnnouncementRelay.
    std::uint64_t loadsSent = 0;

private:
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> writeLoop();

    EntryId m_peer;
    std::unique_ptr<FramedConnection> m_connection;
    Options m_options;
    Hooks m_hooks;
    /// Expires when the next heartbeat is due; cancelled when a message is queued.
    boost::asio::steady_timer m_wake;
    std::deque<Message> m_queue;
    TimePoint m_nextBeat;
    std::uint64_t m_beat = 0;
    std::map<std::uint64_t, TimePoint> m_beats;
    std::uint64_t m_messagesRead = 0;
    std::uint64_t m_messagesWritten = 0;
    bool m_closed = false;
    std::string m_reason;
};

} // namespace tamarackcove
