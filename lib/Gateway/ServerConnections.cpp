#include "tamarackcove/Gateway/ServerConnections.h"

#include "tamarackcove/Http/HttpConnection.h"

#include <algorithm>

namespace asio = boost::asio;

namespace tamarackcove {

/// A server counts the idle time from its own last byte, and closes at any moment of the last second.
static constexpr milliseconds IdleMargin{1000};

ServerConnections::ServerConnections()
    : ServerConnections(Options{})
{
}

ServerConnections::ServerConnections(Options options)
    : m_options(options)
{
}

ServerConnections::~ServerConnections() = default;

bool ServerConnections::fresh(const HttpConnection &connection, bool repeatable, TimePoint now) const
{
    auto limit = m_options.defaultIdle;
    if (const auto said = connection.idleLimit()) {
        limit = std::max(milliseconds(*said) - IdleMargin, milliseconds(0));
    }
    if (!repeatable) {
        limit = std::min(limit, m_options.maxIdleIfUnrepeatable);
    }
    return now < connection.lastHeard() + limit;
}

asio::awaitable<Result<std::unique_ptr<HttpConnection>, HttpError>>
ServerConnections::acquire(ServerIdentity server, Endpoint endpoint, bool repeatable)
{
    auto &idle = m_idle[server];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (!fresh(*connection, repeatable, Clock::now())) {
            if (repeatable) {
                continue;
            }
            // Still good for a request that may be sent again; older ones are not younger.
            idle.push_back(std::move(connection));
            break;
        }
        if (!connection->peerClosed()) {
            co_return std::move(connection);
        }
    }
    ++m_opened;
    co_return co_await HttpConnection::connect(std::move(endpoint), m_options.connectTimeout);
}

void ServerConnections::release(const ServerIdentity &server, std::unique_ptr<HttpConnection> connection)
{
    auto &idle = m_idle[server];
    if (connection->reusable() && idle.size() < m_options.maxIdlePerServer) {
        idle.push_back(std::move(connection));
    }
}

void ServerConnections::closeIdle(TimePoint now)
{
    for (auto &[server, idle] : m_idle) {
        std::erase_if(idle, [&](const auto &connection) { return !fresh(*connection, true, now); });
    }
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
}

std::uint64_t ServerConnections::opened() const
{
    return m_opened;
}

} // namespace tamarackcove
