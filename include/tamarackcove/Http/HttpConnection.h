#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpError.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace tamarackcove {

/// The client side of one HTTP/1.1 connection, for one exchange after the other.
///
/// Thread safety: used on one thread, by one coroutine at a time; close() may be called by another coroutine.
class HttpConnection
{
public:
    static boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>, HttpError>> connect(Endpoint endpoint,
                                                                                              milliseconds timeout);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends a request. When it fails, requestBytesWritten() tells whether the peer may have seen any of it.
    /// Precondition: the response of the request before was read to its end.
    boost::asio::awaitable<Result<void, HttpError>> writeRequest(HttpRequest request, milliseconds timeout);
    [[nodiscard]] std::size_t requestBytesWritten() const;

    /// Reads the head of the response. Precondition: writeRequest() has succeeded.
    boost::asio::awaitable<Result<HttpResponse, HttpError>> readHead(milliseconds timeout);

    /// Reads what has arrived of the body, or nothing at its end. A body cut short is an error, never an end.
    /// Precondition: readHead() has succeeded.
    boost::asio::awaitable<Result<std::optional<std::string>, HttpError>> readPiece(milliseconds timeout);

    /// Sends a request and reads the whole response; the timeout covers each of the steps.
    boost::asio::awaitable<Result<HttpResponse, HttpError>> exchange(HttpRequest request, milliseconds timeout);

    /// Whether another exchange may use this connection.
    [[nodiscard]] bool reusable() const;
    /// How long the peer keeps the connection without a request, if the last response said so.
    [[nodiscard]] std::optional<seconds> idleLimit() const;
    /// When the peer last sent a byte; a connection that was silent for long may be dead without a sign.
    [[nodiscard]] TimePoint lastHeard() const;
    /// Whether the peer has closed its side or sent something unasked; checked without waiting.
    /// Precondition: no exchange is in progress.
    [[nodiscard]] bool peerClosed() const;
    void close();

private:
    struct Impl;
    explicit HttpConnection(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// Connects, does one exchange, and closes; the timeout covers each of the steps.
boost::asio::awaitable<Result<HttpResponse, HttpError>> httpExchange(Endpoint endpoint, HttpRequest request,
                                                                     milliseconds timeout);

} // namespace tamarackcove
