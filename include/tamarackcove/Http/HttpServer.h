#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Http/HttpError.h"
#include "tamarackcove/Http/HttpLimits.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace tamarackcove {

class HttpResponder;
class MemoryBudget;
class Supervisor;
struct HttpRequest;

/// Accepts HTTP/1.1 connections and serves each in a task of its own under the given supervisor.
///
/// Thread safety: used on the thread of the executor.
class HttpServer
{
public:
    /// Answers one request. When it returns without having started a response, the server answers 500. An exception is
    /// logged and treated the same way, except that a boost::system::system_error ends the connection.
    using Handler = std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

    /// The budget bounds what clients make the process hold, and may be shared with other servers; without one, the
    /// server has one of its own with the default limits. Precondition: the supervisor outlives the server.
    HttpServer(Supervisor &connections, HttpLimits limits, Handler handler,
               std::shared_ptr<MemoryBudget> budget = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and listens. With port 0 the kernel chooses a free port.
    Result<void, HttpError> listen(const Endpoint &endpoint);

    /// Accepts connections until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();

    /// Replaces the limits. They apply to connections accepted and requests read from now on.
    void setLimits(HttpLimits limits);
    /// While set, each response has `connection: close` and ends its connection; connections are still accepted.
    void setCloseAfterResponse(bool closeAfterResponse);
    /// Stops accepting connections, after those in the listen queue, and closes idle ones. Each other one is closed
    /// after its current request, whose response has `connection: close`; a request that has begun to arrive counts,
    /// and a connection that has had none yet gets a moment to send one.
    void beginDrain();

    /// The bound port. Precondition: listen() has succeeded.
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t openConnections() const;
    /// The number of connections accepted since the start, which is also the number of the last one.
    [[nodiscard]] std::uint64_t acceptedConnections() const;
    /// The number of connections with a request in progress.
    [[nodiscard]] std::size_t busyConnections() const;

private:
    friend class ServerConnection;
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
