#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Control/ControlParts.h"
#include "tamarackcove/Control/Watchers/EntryCalls.h"
#include "tamarackcove/Wire/WireError.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tamarackcove {

class FramedConnection;
class Supervisor;
struct WatchMessage;

/// Accepts the framed connections of entries. Each is one task that reads a message, answers it and goes on: a watch is
/// answered when there is a newer configuration or its wait is over, a call when it is decided.
///
/// Thread safety: used on the thread of the executor.
class WatcherServer
{
public:
    /// Precondition: the supervisor outlives the server.
    WatcherServer(Supervisor &connections, ControlParts parts);

    Result<void, WireError> listen(const Endpoint &endpoint);
    /// Accepts until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();
    /// Stops accepting; open connections end after the answer they are in.
    void beginDrain();
    /// Waits until no call is in progress, at most until the deadline. Returns whether none is. Watches may go on.
    boost::asio::awaitable<bool> callsFinished(TimePoint deadline);
    /// Precondition: listen() has succeeded.
    [[nodiscard]] std::uint16_t port() const;

private:
    boost::asio::awaitable<void> serve(FramedConnection &connection);
    boost::asio::awaitable<bool> answerWatch(FramedConnection &connection, WatchMessage watch);

    Supervisor &m_connections;
    ControlParts m_parts;
    EntryCalls m_calls;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_accepted = 0;
    std::size_t m_callsInProgress = 0;
    std::uint16_t m_port = 0;
    bool m_draining = false;
};

} // namespace tamarackcove
