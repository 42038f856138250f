#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpError.h"

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <map>
#include <memory>

namespace tamarackcove {

class HttpConnection;

/// Connections to targets and to entries of other zones, kept open between requests.
///
/// An idle connection can be dead without an error, even while new connections to the same peer work. A call that is
/// not repeatable therefore gets a new connection, or one on which the peer has just sent a byte.
/// Thread safety: used on one thread, that of the executor of the calling coroutines.
class TargetConnections
{
public:
    struct Options
    {
        std::size_t maxIdlePerTarget = 32;
        std::size_t maxIdle = 1024;
        /// Must be shorter than the idle timeout of the servers, so that a request is rarely sent on a connection that
        /// the server is closing.
        milliseconds idleLimit = seconds(20);
        /// A call that is not repeatable uses an idle connection only if the peer has sent a byte on it within this
        /// time.
        milliseconds maxSilenceIfNotRepeatable = milliseconds(200);
        milliseconds connectTimeout = seconds(1);
    };

    using Connection = std::unique_ptr<HttpConnection>;

    explicit TargetConnections(Options options);
    ~TargetConnections();
    TargetConnections(const TargetConnections &) = delete;
    TargetConnections &operator=(const TargetConnections &) = delete;

    /// Returns an idle connection that the call may use, or opens a new one.
    boost::asio::awaitable<Result<Connection, HttpError>> acquire(Endpoint endpoint, bool repeatable);
    /// Opens a new connection.
    boost::asio::awaitable<Result<Connection, HttpError>> open(Endpoint endpoint);
    /// Keeps the connection for later requests if it is reusable and the limits on idle connections allow it.
    void release(const Endpoint &endpoint, Connection connection);
    /// Closes the idle connections to a peer, because a connection to it was found to be dead.
    void closeIdle(const Endpoint &endpoint);
    /// Closes connections that have been idle for Options::idleLimit.
    void expire(TimePoint now);

    [[nodiscard]] std::size_t idleConnections() const;

private:
    struct Idle
    {
        Connection connection;
        TimePoint idleSince;
    };

    Connection takeIdle(const Endpoint &endpoint, bool repeatable);

    Options m_options;
    /// The most recently used connection is at the back.
    std::map<Endpoint, std::deque<Idle>> m_idle;
    std::size_t m_idleCount = 0;
};

} // namespace tamarackcove
