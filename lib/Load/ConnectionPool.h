#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Http/HttpConnection.h"

#include <map>
#include <memory>
#include <vector>

namespace tamarackcove {

/// Idle connections by endpoint.
///
/// Thread safety: used on one thread.
class ConnectionPool
{
public:
    /// Removes and returns an idle connection to the endpoint, or null when there is none.
    std::unique_ptr<HttpConnection> take(const Endpoint &endpoint)
    {
        auto &idle = m_idle[endpoint];
        if (idle.empty()) {
            return nullptr;
        }
        auto connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }
    /// Keeps the connection for another request if it is reusable, and closes it otherwise.
    void putBack(const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection)
    {
        if (connection->reusable()) {
            m_idle[endpoint].push_back(std::move(connection));
        }
    }

private:
    std::map<Endpoint, std::vector<std::unique_ptr<HttpConnection>>> m_idle;
};

} // namespace tamarackcove
