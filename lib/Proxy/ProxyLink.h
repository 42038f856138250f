#pragma once

#include "tamarackcove/Proxy/LinkFaults.h"
#include "tamarackcove/Proxy/ProxyProcess.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <set>

namespace tamarackcove {

class Supervisor;

/// Accepts the connections of one pair and forwards their bytes, subject to the faults of the link.
///
/// Thread safety: used on the thread of the supervisor's executor.
class ProxyLink
{
public:
    /// Each connection becomes a task of the supervisor. Precondition: the supervisor outlives this object.
    ProxyLink(Supervisor &connections, ProxyPair pair);

    /// Opens the listening port. Returns false if that fails.
    [[nodiscard]] bool listen();
    /// Accepts connections until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();

    [[nodiscard]] const ProxyPair &pair() const;
    [[nodiscard]] const LinkFaults &faults() const;
    /// Applies the faults to open connections and to later ones.
    void setFaults(LinkFaults faults);
    /// Number of connections accepted so far, which is also the number of the last one.
    [[nodiscard]] std::uint64_t acceptedConnections() const;
    [[nodiscard]] std::size_t openConnections() const;
    [[nodiscard]] std::uint16_t port() const;

private:
    struct Connection;
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    /// Forwards the bytes of one direction until the sender ends or an error resets the connection.
    boost::asio::awaitable<void> forwardBytes(Connection &connection, LinkDirection direction);
    /// Waits while the faults stop this direction of the connection.
    boost::asio::awaitable<void> waitUntilForwardable(const Connection &connection, LinkDirection direction);

    Supervisor &m_connections;
    ProxyPair m_pair;
    LinkFaults m_faults;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// Never expires; cancelled to wake its waiters when the faults change.
    Timer m_faultsChanged;
    std::set<Connection *> m_openConnections;
    std::uint64_t m_acceptedConnections = 0;
};

} // namespace tamarackcove
