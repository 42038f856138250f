#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Wire/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace tamarackcove {

class FramedConnection;

/// One established connection to another entry: reads messages, writes queued messages, and sends heartbeats.
///
/// Thread safety: used on one thread.
class PeerLink
{
public:
    struct Options
    {
        /// The link fails when no message arrives for this long.
        milliseconds receiveTimeout = milliseconds(2500);
        milliseconds writeTimeout = seconds(2);
        /// The link is closed when more messages than this are queued. The peer gets a full view on its next link.
        std::size_t maxQueued = 4096;
    };

    struct Hooks
    {
        std::function<void(const Message &message)> onMessage;
        std::function<Message()> makeHeartbeat;
        /// Returns the time until the next heartbeat. Each link has a timer of its own: one timer for all links would
        /// save only about 10% of the CPU time for each message, 0.01% of a core with 31 peers.
        std::function<milliseconds()> heartbeatDelay;
    };

    PeerLink(const boost::asio::any_io_executor &executor, EntryId peer, std::unique_ptr<FramedConnection> connection,
             Options options, Hooks hooks);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Runs until the link fails or is closed, and returns the reason.
    boost::asio::awaitable<std::string> run();
    /// Queues a message; drops it when the link is closed.
    void send(Message message);
    /// Sends the next heartbeat as soon as the queued messages are written.
    void sendHeartbeatNow();
    void close();

    [[nodiscard]] const EntryId &peer() const;
    [[nodiscard]] std::uint64_t bytesRead() const;
    [[nodiscard]] std::uint64_t bytesWritten() const;
    [[nodiscard]] std::uint64_t messagesRead() const;
    [[nodiscard]] std::uint64_t messagesWritten() const;

    /// Records that a heartbeat is sent at `now` and returns its sequence number.
    std::uint64_t recordHeartbeatSent(TimePoint now);
    /// Returns when the heartbeat with this sequence number was sent, or nothing when it is not among the last 16.
    [[nodiscard]] std::optional<TimePoint> heartbeatSentAt(std::uint64_t heartbeat) const;

    /// The sequence number of the last heartbeat received from the peer. The next heartbeat to the peer echoes it.
    std::uint64_t lastPeerHeartbeatNumber = 0;
    /// The number of the last announcement whose load figures were sent to the peer; see AnnouncementRelay.
    std::uint64_t loadFiguresSentUpTo = 0;

private:
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> writeLoop();

    EntryId m_peer;
    std::unique_ptr<FramedConnection> m_connection;
    Options m_options;
    Hooks m_hooks;
    /// Wakes the write loop: expires when the next heartbeat is due, and is cancelled when a message is queued.
    Timer m_wake;
    std::deque<Message> m_queue;
    TimePoint m_nextHeartbeatAt;
    std::uint64_t m_lastHeartbeatNumber = 0;
    /// The times at which the last heartbeats were sent to the peer, by sequence number.
    std::map<std::uint64_t, TimePoint> m_heartbeatSendTimes;
    std::uint64_t m_messagesRead = 0;
    std::uint64_t m_messagesWritten = 0;
    bool m_closed = false;
    std::string m_closeReason;
};

} // namespace tamarackcove
