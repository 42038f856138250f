#include "tamarackcove/Gateway/ServerConnections.h"

#include "tamarackcove/Http/HttpConnection.h"

#include <algorithm>

namespace asio = boost::asio;

namespace tamarackcove {

/// Subtracted from the idle limit that a server states: the server measures from its own last byte and may close the
/// connection at any moment of the last second.
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

bool ServerConnections::withinIdleLimit(const HttpConnection &connection, bool repeatable, TimePoint now) const
{
    auto limit = m_options.defaultIdleTimeout;
    if (const auto advertised = connection.keepAliveTimeout()) {
        limit = std::max(milliseconds(*advertised) - IdleMargin, milliseconds(0));
    }
    if (!repeatable) {
        limit = std::min(limit, m_options.maxIdleIfNotRepeatable);
    }
    return now < connection.lastReadAt() + limit;
}

asio::awaitable<Result<std::unique_ptr<HttpConnection>, HttpError>>
ServerConnections::acquire(ServerIdentity server, Endpoint endpoint, bool repeatable)
{
    auto &idle = m_idle[server];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (!withinIdleLimit(*connection, repeatable, Clock::now())) {
            if (repeatable) {
                continue;
            }
            // A repeatable request can still use this connection, so it stays in the pool. The connections before it in
            // the list have been idle for longer and are not tried.
            idle.push_back(std::move(connection));
            break;
        }
        if (!connection->peerClosed()) {
            co_return std::move(connection);
        }
    }
    ++m_openedCount;
    co_return co_await HttpConnection::connect(std::move(endpoint), m_options.connectTimeout);
}

void ServerConnections::release(const ServerIdentity &server, std::unique_ptr<HttpConnection> connection)
{
    auto &idle = m_idle[server];
    if (connection->reusable() && idle.size() < m_options.maxIdlePerServer) {
        idle.push_back(std::move(connection));
    }
}

bool ServerConnections::hasIdle(const ServerIdentity &server, TimePoint now) const
{
    const auto found = m_idle.find(server);
    return found != m_idle.end() && !found->second.empty() && withinIdleLimit(*found->second.back(), true, now);
}

void ServerConnections::closeIdle(TimePoint now)
{
    for (auto &[server, idle] : m_idle) {
        std::erase_if(idle, [&](const auto &connection) { return !withinIdleLimit(*connection, true, now); });
    }
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
}

std::uint64_t ServerConnections::openedCount() const
{
    return m_openedCount;
}

} // namespace tamarackcove
