#include "tamarackcove/Entry/Targets/TargetConnections.h"

#include "tamarackcove/Http/HttpConnection.h"

#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

TargetConnections::TargetConnections(Options options)
    : m_options(options)
{
}

TargetConnections::~TargetConnections() = default;

TargetConnections::Connection TargetConnections::takeIdle(const Endpoint &endpoint, bool repeatable)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    const auto now = Clock::now();
    Connection taken;
    while (!taken && !idle.empty()) {
        auto &last = idle.back();
        // On the other idle connections, which were used less recently, the peer sent its last byte even earlier.
        if (!repeatable && now - last.connection->lastReadAt() > m_options.maxSilenceIfNotRepeatable) {
            break;
        }
        const bool usable = now - last.idleSince < m_options.idleLimit && !last.connection->peerClosed();
        if (usable) {
            taken = std::move(last.connection);
        }
        idle.pop_back();
        --m_idleCount;
    }
    if (idle.empty()) {
        m_idle.erase(found);
    }
    return taken;
}

asio::awaitable<Result<TargetConnections::Connection, HttpError>> TargetConnections::acquire(Endpoint endpoint,
                                                                                             bool repeatable)
{
    if (auto idle = takeIdle(endpoint, repeatable)) {
        co_return idle;
    }
    co_return co_await open(std::move(endpoint));
}

asio::awaitable<Result<TargetConnections::Connection, HttpError>> TargetConnections::open(Endpoint endpoint)
{
    return HttpConnection::connect(std::move(endpoint), m_options.connectTimeout);
}

void TargetConnections::release(const Endpoint &endpoint, Connection connection)
{
    if (!connection->reusable() || m_idleCount >= m_options.maxIdle) {
        return;
    }
    auto &idle = m_idle[endpoint];
    if (idle.size() >= m_options.maxIdlePerTarget) {
        return;
    }
    idle.push_back(Idle{std::move(connection), Clock::now()});
    ++m_idleCount;
}

void TargetConnections::closeIdle(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found != m_idle.end()) {
        m_idleCount -= found->second.size();
        m_idle.erase(found);
    }
}

void TargetConnections::expire(TimePoint now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto &idle = it->second;
        while (!idle.empty() && now - idle.front().idleSince >= m_options.idleLimit) {
            idle.pop_front();
            --m_idleCount;
        }
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

std::size_t TargetConnections::idleConnections() const
{
    return m_idleCount;
}

} // namespace tamarackcove
