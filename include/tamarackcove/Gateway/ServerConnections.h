#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Fleet/ServerRecord.h"
#include "tamarackcove/Http/HttpError.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace tamarackcove {

class HttpConnection;

/// Idle connections to servers, each of which has ended its last exchange cleanly.
///
/// Thread safety: used on one thread.
class ServerConnections
{
public:
    struct Options
    {
        milliseconds connectTimeout{150};
        /// A server that does not say how long it keeps a connection is taken to close it after this time.
        milliseconds defaultIdle{2500};
        /// A connection that was silent for longer may be dead without a sign; a request that must not be lost uses a
        /// younger one.
        milliseconds maxIdleIfUnrepeatable{700};
        std::size_t maxIdlePerServer = 16;
    };

    ServerConnections();
    explicit ServerConnections(Options options);
    ~ServerConnections();
    ServerConnections(const ServerConnections &) = delete;
    ServerConnections &operator=(const ServerConnections &) = delete;

    /// An idle connection to this start of the server, or a new one.
    boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>, HttpError>>
    acquire(ServerIdentity server, Endpoint endpoint, bool repeatable);
    /// Keeps the connection if it can be used again.
    void release(const ServerIdentity &server, std::unique_ptr<HttpConnection> connection);
    /// Closes connections that have been idle for too long.
    void closeIdle(TimePoint now);
    [[nodiscard]] std::uint64_t opened() const;

private:
    [[nodiscard]] bool fresh(const HttpConnection &connection, bool repeatable, TimePoint now) const;

    Options m_options;
    std::map<ServerIdentity, std::vector<std::unique_ptr<HttpConnection>>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace tamarackcove
