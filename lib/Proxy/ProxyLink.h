#pragma once

#include "tamarackcove/Proxy/LinkFaults.h"
#include "tamarackcove/Proxy/ProxyProcess.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace tamarackcove {

class Supervisor;

/// One pair: accepts connections and passes their bytes on as far as its faults allow.
///
/// Thread safety: used on the thread of the supervisor's executor.
class ProxyLink
{
public:
    /// Precondition: the supervisor outlives this object; each connection is one of its tasks.
    ProxyLink(Supervisor &connections, ProxyPair pair);

    [[nodiscard]] bool listen();
    /// Accepts until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();

    [[nodiscard]] const ProxyPair &pair() const;
    [[nodiscard]] const LinkFaults &faults() const;
    void setFaults(LinkFaults faults);
    /// The number of the connection that was accepted last.
    [[nodiscard]] std::uint64_t accepted() const;
    [[nodiscard]] std::size_t open() const;
    [[nodiscard]] std::uint16_t port() const;

private:
    struct Connection;
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> pump(Connection &connection, LinkDirection direction);
    /// Waits while the faults hold this direction.
    boost::asio::awaitable<void> pass(const Connection &connection, LinkDirection direction);

    Supervisor &m_connections;
    ProxyPair m_pair;
    LinkFaults m_faults;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// Never expires; cancelled when the faults change.
    boost::asio::steady_timer m_changed;
    std::set<Connection *> m_open;
    std::uint64_t m_accepted = 0;
};

} // namespace tamarackcove
