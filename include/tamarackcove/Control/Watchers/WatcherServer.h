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

/// Accepts the framed connections of entries. One task serves each connection and answers its messages one after the
/// other. It answers a watch once there is a newer configuration or the wait time of the watch has passed, and a
/// call once the outcome of the call is known.
///
/// Thread safety: used on the thread of the executor.
class WatcherServer
{
public:
    /// Precondition: the supervisor outlives the server.
    WatcherServer(Supervisor &connections, ControlParts parts);

    Result<void, WireError> listen(const Endpoint &endpoint);
    /// Accepts connections until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();
    /// Stops accepting connections. Each open connection is closed after the answer in progress.
    void beginDrain();
    /// Waits until no call is in progress or the deadline has passed, and returns whether all calls have ended. Does
    /// not wait for watches.
    boost::asio::awaitable<bool> waitForCalls(TimePoint deadline);
    /// Precondition: listen() has succeeded.
    [[nodiscard]] std::uint16_t port() const;

private:
    boost::asio::awaitable<void> serve(FramedConnection &connection);
    /// Returns false when the connection is lost.
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
