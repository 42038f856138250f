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
class Supervisor;
struct HttpRequest;

/// Accepts HTTP/1.1 connections; each is one task of the supervisor it is given.
///
/// Thread safety: used on the thread of the executor.
class HttpServer
{
public:
    /// Answers one request. When it returns without having written, the server answers 500.
    using Handler = std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

    /// Precondition: the supervisor outlives the server.
    HttpServer(Supervisor &connections, HttpLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and listens; port 0 takes a port from the kernel.
    Result<void, HttpError> listen(const Endpoint &endpoint);

    /// Accepts until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();

    /// Limits of the connections that are accepted, and of the requests that are read, from now on.
    void setLimits(HttpLimits limits);
    /// While set, each response says `connection: close`; connections are still accepted.
    void setClosing(bool closing);
    /// Stops accepting, and ends each connection after the request it is in: its response says `connection: close`.
    void beginDrain();

    /// The bound port. Precondition: listen() has succeeded.
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t openConnections() const;
    /// The number of the connection that was accepted last.
    [[nodiscard]] std::uint64_t acceptedConnections() const;
    /// Connections that are inside a request.
    [[nodiscard]] std::size_t busyConnections() const;

private:
    friend class ServerConnection;
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
