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
/// An established connection can be dead without a sign while new ones work. A call that may not be repeated
/// therefore gets a new connection, or one that has just answered.
/// Thread safety: used on the thread of its callers' executor.
class TargetConnections
{
public:
    struct Options
    {
        std::size_t maxIdlePerTarget = 32;
        std::size_t maxIdle = 1024;
        /// Shorter than the idle timeout of the servers, so that a request rarely meets a connection that closes.
        milliseconds idleLimit = seconds(20);
        /// A connection that was heard within this time is trusted with a call that may not be repeated.
        milliseconds trustedSilence = milliseconds(200);
        milliseconds connectTimeout = seconds(1);
    };

    using Connection = std::unique_ptr<HttpConnection>;

    explicit TargetConnections(Options options);
    ~TargetConnections();
    TargetConnections(const TargetConnections &) = delete;
    TargetConnections &operator=(const TargetConnections &) = delete;

    /// An idle connection that fits the call, or a new one.
    boost::asio::awaitable<Result<Connection, HttpError>> acquire(Endpoint endpoint, bool repeatable);
    /// A new connection.
    boost::asio::awaitable<Result<Connection, HttpError>> open(Endpoint endpoint);
    /// Keeps the connection for another request if it is reusable and there is room.
    void release(const Endpoint &endpoint, Connection connection);
    /// Closes the idle connections to a target that has shown one to be dead.
    void distrust(const Endpoint &endpoint);
    /// Closes connections that were idle for too long.
    void expire(TimePoint now);

    [[nodiscard]] std::size_t idle() const;

private:
    struct Idle
    {
        Connection connection;
        TimePoint since;
    };

    Connection takeIdle(const Endpoint &endpoint, bool repeatable);

    Options m_options;
    /// The most recently used at the back.
    std::map<Endpoint, std::deque<Idle>> m_idle;
    std::size_t m_idleCount = 0;
};

} // namespace tamarackcove
