#include "ProxyLink.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::size_t BufferBytes = 64 * 1024;

struct ProxyLink::Connection
{
    Connection(std::uint64_t connectionNumber, tcp::socket callerSocket)
        : number(connectionNumber)
        , caller(std::move(callerSocket))
        , target(caller.get_executor())
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        caller.close(ignored);
        target.close(ignored);
    }
    void reset()
    {
        boost::system::error_code ignored;
        const asio::socket_base::linger linger(true, 0);
        caller.set_option(linger, ignored);
        target.set_option(linger, ignored);
        close();
    }

    std::uint64_t number;
    tcp::socket caller;
    tcp::socket target;
};

static tcp::endpoint address(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.host), endpoint.port};
}

ProxyLink::ProxyLink(Supervisor &connections, ProxyPair pair)
    : m_connections(connections)
    , m_pair(std::move(pair))
    , m_acceptor(connections.executor())
    , m_faultsChanged(connections.executor(), TimePoint::max())
{
}

bool ProxyLink::listen()
{
    boost::system::error_code error;
    const auto endpoint = address(m_pair.listen);
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        LogLine(LogLevel::Error, "listen_failed").add("pair", m_pair.name).add("reason", error.message());
        return false;
    }
    return true;
}

asio::awaitable<void> ProxyLink::run()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
        if (error) {
            co_return;
        }
        const auto connection = std::make_shared<Connection>(++m_acceptedConnections, std::move(socket));
        if (m_faults.linkDown) {
            connection->reset();
            continue;
        }
        m_connections.startTemporary(fmt::format("{}-{}", m_pair.name, m_acceptedConnections),
                                     [this, connection] { return serve(connection); });
    }
}

asio::awaitable<void> ProxyLink::serve(std::shared_ptr<Connection> connection)
{
    using namespace asio::experimental::awaitable_operators;
    m_openConnections.insert(connection.get());
    co_await waitUntilForwardable(*connection, LinkDirection::ToTarget);
    auto [error] = co_await connection->target.async_connect(address(m_pair.target), UseTuple);
    if (error) {
        connection->reset();
    } else {
        boost::system::error_code ignored;
        connection->caller.set_option(tcp::no_delay(true), ignored);
        connection->target.set_option(tcp::no_delay(true), ignored);
        co_await (forwardBytes(*connection, LinkDirection::ToTarget)
                  && forwardBytes(*connection, LinkDirection::ToCaller));
    }
    m_openConnections.erase(connection.get());
    connection->close();
}

asio::awaitable<void> ProxyLink::waitUntilForwardable(const Connection &connection, LinkDirection direction)
{
    while (!m_faults.canForward(connection.number, direction) && connection.caller.is_open()) {
        boost::system::error_code ignored;
        co_await m_faultsChanged.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> ProxyLink::forwardBytes(Connection &connection, LinkDirection direction)
{
    const bool toTarget = direction == LinkDirection::ToTarget;
    auto &from = toTarget ? connection.caller : connection.target;
    auto &to = toTarget ? connection.target : connection.caller;
    std::vector<char> buffer(BufferBytes);
    Timer timer(m_connections.executor());
    while (true) {
        auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), UseTuple);
        co_await waitUntilForwardable(connection, direction);
        const auto wait = m_faults.delay + m_faults.transmissionTime(size);
        if (wait > Duration(0)) {
            timer.expires_after(wait);
            co_await timer.async_wait(asio::use_awaitable);
            co_await waitUntilForwardable(connection, direction);
        }
        if (error == asio::error::eof) {
            boost::system::error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (!error) {
            std::tie(error, size) = co_await asio::async_write(to, asio::buffer(buffer.data(), size), UseTuple);
        }
        if (error) {
            connection.reset();
            co_return;
        }
    }
}

void ProxyLink::setFaults(LinkFaults faults)
{
    m_faults = faults;
    if (faults.linkDown) {
        for (auto *connection : m_openConnections) {
            connection->reset();
        }
    }
    m_faultsChanged.cancel();
}

const ProxyPair &ProxyLink::pair() const
{
    return m_pair;
}

const LinkFaults &ProxyLink::faults() const
{
    return m_faults;
}

std::uint64_t ProxyLink::acceptedConnections() const
{
    return m_acceptedConnections;
}

std::size_t ProxyLink::openConnections() const
{
    return m_openConnections.size();
}

std::uint16_t ProxyLink::port() const
{
    return m_acceptor.local_endpoint().port();
}

} // namespace tamarackcove
