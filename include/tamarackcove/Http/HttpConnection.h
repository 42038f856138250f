#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpError.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The client side of one HTTP/1.1 connection. Exchanges run one after the other, without pipelining.
///
/// Thread safety: used on one thread, by one coroutine at a time; close() may be called by another coroutine.
class HttpConnection
{
public:
    /// Limit on the head of one response, as for the heads of callers.
    static constexpr std::size_t MaxHeadBytes = 16 * 1024;
    /// Limit on the interim responses (1xx) before a response.
    static constexpr int MaxInterimResponses = 16;
    /// Limit on the size line of a chunk with its extensions, and on the trailer fields of a response.
    static constexpr std::size_t MaxChunkFramingBytes = 16 * 1024;
    /// Limit on the body of a response that exchange() returns, unless its caller sets another one.
    static constexpr std::size_t MaxExchangeBodyBytes = 16 * 1024 * 1024;

    static boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>, HttpError>> connect(Endpoint endpoint,
                                                                                              milliseconds timeout);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends a request. After a failure, requestBytesWritten() tells whether the peer may have received a part of the
    /// request. Precondition: the response to the previous request was read to its end.
    boost::asio::awaitable<Result<void, HttpError>> writeRequest(HttpRequest request, milliseconds timeout);
    /// The same with this body, which is not copied if it is large. The body of `head` is ignored.
    /// Precondition: the body is valid until the operation has ended.
    boost::asio::awaitable<Result<void, HttpError>> writeRequest(HttpRequest head, std::string_view body,
                                                                 milliseconds timeout);
    /// The number of bytes of the last request that were handed to the kernel.
    [[nodiscard]] std::size_t requestBytesWritten() const;

    /// Reads the head of the response and skips the interim responses before it. The timeout applies to all of them
    /// together. Fails with TooLarge if the head or the number of interim responses exceeds its limit. After TimedOut
    /// it may be called again. Precondition: writeRequest() has succeeded.
    boost::asio::awaitable<Result<HttpResponse, HttpError>> readHead(milliseconds timeout);

    /// Reads the part of the body that has arrived, and returns nothing at the end of the body. A connection that is
    /// closed before the end of the body gives an error, as does chunk framing over its limit (TooLarge). A body with
    /// neither a length nor chunks ends when the peer closes the connection, unless the connection is reset, also right
    /// after that, or the status is 2xx and no byte of it has come: that gives an error as well. The body has no limit:
    /// the caller counts the bytes and the time of all pieces. After TimedOut it may be called again. Precondition:
    /// readHead() has succeeded.
    boost::asio::awaitable<Result<std::optional<std::string>, HttpError>> readPiece(milliseconds timeout);

    /// Sets a hook that is called when a read has reached its timeout. It returns for how much longer the read waits;
    /// zero lets it fail with TimedOut. An empty hook lets every read fail at its timeout.
    void setSilenceHook(std::function<milliseconds()> onSilence);

    /// Sends a request and reads the whole response. The response must arrive within the timeout; while the peer has
    /// not accepted the request, the timeout applies to each wait for it. Fails with TooLarge if the body is longer
    /// than `maxBodyBytes`.
    boost::asio::awaitable<Result<HttpResponse, HttpError>> exchange(HttpRequest request, milliseconds timeout,
                                                                     std::size_t maxBodyBytes = MaxExchangeBodyBytes);

    /// Whether another exchange may use this connection: it is open, no exchange is in progress, none has failed, and
    /// the last response did not close it.
    [[nodiscard]] bool reusable() const;
    /// How long the peer keeps an idle connection open, from the newest `Keep-Alive` field with a timeout.
    [[nodiscard]] std::optional<seconds> keepAliveTimeout() const;
    /// When the last read of a response head or body ended, or, before the first read, when the connection was opened.
    /// The peer of a connection without traffic for a long time may be gone without a notification by the kernel.
    [[nodiscard]] TimePoint lastReadAt() const;
    /// Whether bytes have arrived since a read has timed out. Does not wait. Precondition: the last read has timed out.
    [[nodiscard]] bool hasUnreadBytes() const;
    /// Whether the peer has closed its side or sent unsolicited bytes. Does not wait.
    /// Precondition: no exchange is in progress.
    [[nodiscard]] bool peerClosed() const;
    /// Closes the socket. A pending operation fails with Closed.
    void close();

private:
    struct Impl;
    explicit HttpConnection(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// Opens a connection, does one exchange and closes the connection. The timeout applies to the connect, and then to the
/// exchange as described there.
boost::asio::awaitable<Result<HttpResponse, HttpError>>
httpExchange(Endpoint endpoint, HttpRequest request, milliseconds timeout,
             std::size_t maxBodyBytes = HttpConnection::MaxExchangeBodyBytes);

} // namespace tamarackcove
