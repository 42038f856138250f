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

/// Pool of idle connections to servers. Only connections whose last exchange was completed are kept.
///
/// Thread safety: used on one thread.
class ServerConnections
{
public:
    struct Options
    {
        milliseconds connectTimeout{150};
        /// Idle timeout that is assumed for a server whose answer does not state one.
        milliseconds defaultIdleTimeout{2500};
        /// A connection that has been idle for longer than this may be broken although it is not reported as closed.
        /// Requests that are not repeatable do not use such a connection.
        milliseconds maxIdleIfNotRepeatable{700};
        std::size_t maxIdlePerServer = 16;
    };

    ServerConnections();
    explicit ServerConnections(Options options);
    ~ServerConnections();
    ServerConnections(const ServerConnections &) = delete;
    ServerConnections &operator=(const ServerConnections &) = delete;

    /// Returns an idle connection to this start of the server process, or opens one. `repeatable` says whether the
    /// request that will use it may be sent again.
    boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>, HttpError>>
    acquire(ServerIdentity server, Endpoint endpoint, bool repeatable);
    /// Returns a connection to the pool; closes it if it cannot be reused or the pool of the server is full.
    void release(const ServerIdentity &server, std::unique_ptr<HttpConnection> connection);
    /// Whether a request that may be sent again would find an idle connection to this start of the server process.
    [[nodiscard]] bool hasIdle(const ServerIdentity &server, TimePoint now) const;
    /// Closes connections that have exceeded the idle limit of their server.
    void closeIdle(TimePoint now);
    /// Number of attempts to open a connection since this object was created.
    [[nodiscard]] std::uint64_t openedCount() const;

private:
    /// Whether the connection has been idle for less than the limit for a request that is (or is not) repeatable.
    [[nodiscard]] bool withinIdleLimit(const HttpConnection &connection, bool repeatable, TimePoint now) const;

    Options m_options;
    std::map<ServerIdentity, std::vector<std::unique_ptr<HttpConnection>>> m_idle;
    std::uint64_t m_openedCount = 0;
};

} // namespace tamarackcove
