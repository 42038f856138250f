#include "tamarackcove/Http/HttpConnection.h"

#include "HttpConversion.h"
#include "MessageFraming.h"
#include "TimedSocket.h"
#include "tamarackcove/Supervision/Timer.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::size_t ReadBytes = 8 * 1024;
/// Longer bodies are written by a call of their own instead of being copied behind their head.
static constexpr std::size_t MaxCopiedBodyBytes = 16 * 1024;
/// How long the reset by a peer that is gone is waited for: it follows within a round trip, or after a retransmission.
static constexpr milliseconds MaxResetDelay{250};
static constexpr milliseconds ResetCheckInterval{5};
static constexpr unsigned SwitchingProtocols = 101;
/// Responses with a lower status are interim responses: the response to the request follows them.
static constexpr unsigned FirstFinalStatus = 200;

struct HttpConnection::Impl
{
    explicit Impl(tcp::socket openSocket)
        : socket(std::move(openSocket))
    {
    }

    TimedSocket socket;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::optional<MessageFraming> framing;
    std::size_t requestBytesWritten = 0;
    /// Whether a response has a body, as far as the method of the request decides it.
    bool expectsBody = true;
    /// Bytes of the body of this response that were returned so far.
    std::size_t bodyBytes = 0;
    TimePoint lastReadAt = Clock::now();
    std::optional<seconds> keepAliveTimeout;
    bool unusable = false;
    bool inExchange = false;
    /// The error of the socket that was taken without a read. The kernel reports an error once, and a read after that
    /// sees the same as if the peer had closed the connection in order.
    beast::error_code takenError;

    void startParser();
    /// Peeks at the next byte without waiting. Returns the number of bytes seen, 0 if the peer has closed its side, and
    /// -1 if there is none yet or the connection is broken.
    ssize_t peek();
    /// The error of a read, or the taken error in place of the end that the read has seen.
    [[nodiscard]] beast::error_code readError(const beast::error_code &error) const;
    /// Takes the error of the socket without a read.
    void takeError();
    /// The number of bytes that the kernel of the peer has not accepted.
    [[nodiscard]] int unacceptedBytes() const;
    /// Checks the end of an answer that ends with its connection. The process of a peer that has not read the whole
    /// request may be gone: its kernel ends the connection in order, and then resets it when further bytes of the
    /// request arrive. Returns the error of such a connection, otherwise eof.
    asio::awaitable<beast::error_code> confirmEnd();
    /// Reads one head and gives it to the parser.
    asio::awaitable<Result<void, HttpError>> readHead();
    /// Marks the connection as unusable and returns the error.
    HttpError fail(HttpErrorCode code, std::string detail);
    HttpError fail(const beast::error_code &error);
};

void HttpConnection::Impl::startParser()
{
    framing.emplace(MessageKind::Response, MaxHeadBytes);
    parser.emplace();
    parser->skip(!expectsBody);
    parser->header_limit(MaxHeadBytes);
    parser->body_limit(boost::none);
    bodyBytes = 0;
}

asio::awaitable<Result<void, HttpError>> HttpConnection::Impl::readHead()
{
    for (;;) {
        if (buffer.size() > 0) {
            const std::string_view bytes(static_cast<const char *>(buffer.data().data()), buffer.size());
            auto headBytes = framing->examine(bytes);
            if (headBytes.has_error()) {
                co_return fail(headBytes.error().code, headBytes.error().detail);
            }
            if (headBytes.value()) {
                beast::error_code error;
                buffer.consume(parser->put(asio::buffer(buffer.data(), *headBytes.value()), error));
                if (error) {
                    co_return fail(HttpErrorCode::Malformed, error.message());
                }
                co_return ok();
            }
        }
        if (socket.expired()) {
            co_return fail(asio::error::timed_out);
        }
        const auto [error, received] = co_await socket.readSome(buffer.prepare(ReadBytes));
        buffer.commit(received);
        if (error) {
            co_return fail(readError(error));
        }
    }
}

ssize_t HttpConnection::Impl::peek()
{
    char byte = 0;
    const auto received = ::recv(socket.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
        takenError = beast::error_code(errno, boost::system::system_category());
    }
    return received;
}

beast::error_code HttpConnection::Impl::readError(const beast::error_code &error) const
{
    return error == asio::error::eof && takenError ? takenError : error;
}

void HttpConnection::Impl::takeError()
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (::getsockopt(socket.socket().native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        error = errno;
    }
    if (error != 0) {
        takenError = beast::error_code(error, boost::system::system_category());
    }
}

int HttpConnection::Impl::unacceptedBytes() const
{
    int bytes = 0;
    return ::ioctl(socket.socket().native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

asio::awaitable<beast::error_code> HttpConnection::Impl::confirmEnd()
{
    Timer timer(co_await asio::this_coro::executor);
    const auto endTime = Clock::now() + MaxResetDelay;
    takeError();
    while (!takenError && unacceptedBytes() > 0 && Clock::now() < endTime && !socket.expired()) {
        timer.expires_after(ResetCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        takeError();
    }
    co_return readError(asio::error::eof);
}

HttpError HttpConnection::Impl::fail(HttpErrorCode code, std::string detail)
{
    unusable = true;
    return HttpError{code, std::move(detail)};
}

HttpError HttpConnection::Impl::fail(const beast::error_code &error)
{
    // A read that has reached its own timeout may be repeated. Until the response has ended, `inExchange` keeps the
    // connection from being reused.
    unusable = unusable || !socket.expired();
    return toHttpError(socket.translateError(error));
}

/// The timeout of a field such as `Keep-Alive: timeout=5`.
static std::optional<seconds> parseKeepAliveTimeout(const http::fields &fields)
{
    constexpr std::string_view Key = "timeout=";
    const auto found = fields.find(http::field::keep_alive);
    if (found == fields.end()) {
        return std::nullopt;
    }
    const std::string value(found->value());
    const auto at = value.find(Key);
    int limit = 0;
    if (at == std::string::npos
        || std::from_chars(value.data() + at + Key.size(), value.data() + value.size(), limit).ec != std::errc()) {
        return std::nullopt;
    }
    return seconds(limit);
}

HttpConnection::HttpConnection(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpConnection::~HttpConnection() = default;

asio::awaitable<Result<std::unique_ptr<HttpConnection>, HttpError>> HttpConnection::connect(Endpoint endpoint,
                                                                                            milliseconds timeout)
{
    beast::error_code error;
    const tcp::endpoint address(asio::ip::make_address(endpoint.host, error), endpoint.port);
    if (error) {
        co_return HttpError{HttpErrorCode::ConnectFailed,
                            endpoint.toString() + " is not an IP address and port, as in 127.0.0.1:8080"};
    }
    auto impl = std::make_unique<Impl>(tcp::socket(co_await asio::this_coro::executor));
    impl->socket.expireAfter(timeout);
    std::tie(error) = co_await impl->socket.socket().async_connect(address, UseTuple);
    error = impl->socket.translateError(error);
    impl->socket.expireNever();
    if (error) {
        co_return HttpError{HttpErrorCode::ConnectFailed, endpoint.toString() + ": " + error.message(),
                            error == asio::error::connection_refused};
    }
    impl->socket.setNonBlocking();
    impl->socket.socket().set_option(tcp::no_delay(true), error);
    co_return std::unique_ptr<HttpConnection>(new HttpConnection(std::move(impl)));
}

static std::string headText(const HttpRequest &request, std::size_t bodyBytes)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    if (!request.headers.find("host")) {
        text += "host: tamarackcove\r\n";
    }
    for (const auto &[name, value] : request.headers.fields()) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    text += fmt::format("content-length: {}\r\n\r\n", bodyBytes);
    return text;
}

asio::awaitable<Result<void, HttpError>> HttpConnection::writeRequest(HttpRequest request, milliseconds timeout)
{
    const auto body = std::move(request.body);
    co_return co_await writeRequest(std::move(request), body, timeout);
}

asio::awaitable<Result<void, HttpError>> HttpConnection::writeRequest(HttpRequest head, std::string_view body,
                                                                      milliseconds timeout)
{
    auto &impl = *m_impl;
    assert(!impl.inExchange && "the previous response must be read to its end");
    impl.inExchange = true;
    impl.expectsBody = head.method != "HEAD";
    impl.startParser();
    auto text = headText(head, body.size());
    if (body.size() <= MaxCopiedBodyBytes) {
        text += std::exchange(body, {});
    }
    auto error = co_await impl.socket.writeAll(text, timeout, impl.requestBytesWritten);
    if (!error && !body.empty()) {
        std::size_t bodyBytesWritten = 0;
        error = co_await impl.socket.writeAll(body, timeout, bodyBytesWritten);
        impl.requestBytesWritten += bodyBytesWritten;
    }
    if (error) {
        impl.unusable = true;
        co_return toHttpError(error);
    }
    co_return ok();
}

std::size_t HttpConnection::requestBytesWritten() const
{
    return m_impl->requestBytesWritten;
}

asio::awaitable<Result<HttpResponse, HttpError>> HttpConnection::readHead(milliseconds timeout)
{
    auto &impl = *m_impl;
    impl.socket.expireAfter(timeout);
    for (int interimResponses = 0;; ++interimResponses) {
        BOOST_OUTCOME_CO_TRY(co_await impl.readHead());
        const auto status = impl.parser->get().result_int();
        if (status == SwitchingProtocols) {
            co_return impl.fail(HttpErrorCode::Malformed, "status 101, although no other protocol was requested");
        }
        if (status >= FirstFinalStatus) {
            break;
        }
        if (interimResponses == MaxInterimResponses) {
            co_return impl.fail(HttpErrorCode::TooLarge,
                                fmt::format("more than {} interim responses", MaxInterimResponses));
        }
        impl.startParser();
    }
    impl.socket.expireNever();
    // Lets one call of the parser consume all chunks that have arrived.
    impl.parser->eager(true);
    impl.lastReadAt = Clock::now();
    if (const auto limit = parseKeepAliveTimeout(impl.parser->get())) {
        impl.keepAliveTimeout = limit;
    }
    HttpResponse response;
    response.status = static_cast<int>(impl.parser->get().result_int());
    response.headers = headersFromBeast(impl.parser->get());
    co_return response;
}

/// Removes the buffered bytes that the parser consumes, and returns the body bytes among them. The error is need_more
/// when the parser needs further bytes from the socket.
static std::string parseBuffered(http::response_parser<http::buffer_body> &parser, beast::flat_buffer &buffer,
                                 beast::error_code &error)
{
    // The decoded body is never longer than its chunked encoding.
    std::string piece(buffer.size(), '\0');
    auto &body = parser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    body.more = true;
    buffer.consume(parser.put(buffer.data(), error));
    if (error == http::error::need_buffer) {
        error = {};
    }
    piece.resize(piece.size() - body.size);
    return piece;
}

asio::awaitable<Result<std::optional<std::string>, HttpError>> HttpConnection::readPiece(milliseconds timeout)
{
    auto &impl = *m_impl;
    auto &parser = *impl.parser;
    bool deadlineSet = false;
    while (!parser.is_done()) {
        beast::error_code error;
        if (impl.buffer.size() > 0) {
            auto piece = parseBuffered(parser, impl.buffer, error);
            if (!piece.empty()) {
                impl.socket.expireNever();
                impl.bodyBytes += piece.size();
                co_return std::optional<std::string>(std::move(piece));
            }
            if (!error) {
                continue;
            }
            // The bytes that the parser leaves behind are an incomplete size line of a chunk or incomplete trailers.
            if (error == http::error::need_more && impl.buffer.size() > MaxChunkFramingBytes) {
                co_return impl.fail(HttpErrorCode::TooLarge,
                                    fmt::format("chunk framing of more than {} bytes", MaxChunkFramingBytes));
            }
        }
        if (!error || error == http::error::need_more) {
            if (!std::exchange(deadlineSet, true)) {
                impl.socket.expireAfter(timeout);
            } else if (impl.socket.expired()) {
                co_return impl.fail(asio::error::timed_out);
            }
            std::size_t received = 0;
            std::tie(error, received) = co_await impl.socket.readSome(impl.buffer.prepare(ReadBytes));
            impl.buffer.commit(received);
            impl.lastReadAt = Clock::now();
            error = impl.readError(error);
            if (error == asio::error::eof && parser.need_eof()) {
                error = co_await impl.confirmEnd();
            }
            if (error == asio::error::eof) {
                error = {};
                parser.put_eof(error);
                // A peer that stops after the head of a successful response looks the same as one whose body, of no
                // stated length, is empty. Peers state that a body is empty, so this one is taken as broken off.
                const bool success = http::to_status_class(parser.get().result()) == http::status_class::successful;
                if (!error && impl.bodyBytes == 0 && impl.expectsBody && success) {
                    co_return impl.fail(HttpErrorCode::Closed,
                                        "the connection was closed right after the head of a "
                                        "response with neither a length nor chunks");
                }
            }
        }
        if (error) {
            co_return impl.fail(error);
        }
    }
    impl.socket.expireNever();
    impl.inExchange = false;
    // Bytes after the end of the response belong to no request, so the connection must not be reused.
    if (!parser.keep_alive() || impl.buffer.size() > 0) {
        impl.unusable = true;
    }
    co_return std::optional<std::string>();
}

void HttpConnection::setSilenceHook(std::function<milliseconds()> onSilence)
{
    m_impl->socket.setExpiryHook(std::move(onSilence));
}

asio::awaitable<Result<HttpResponse, HttpError>> HttpConnection::exchange(HttpRequest request, milliseconds timeout,
                                                                          std::size_t maxBodyBytes)
{
    const auto deadline = Clock::now() + timeout;
    const auto timeLeft = [deadline] {
        return std::chrono::ceil<milliseconds>(deadline - Clock::now());
    };
    BOOST_OUTCOME_CO_TRY(co_await writeRequest(std::move(request), timeout));
    BOOST_OUTCOME_CO_TRY(auto response, co_await readHead(std::max(timeLeft(), milliseconds(1))));
    while (true) {
        // Without this check, bytes that arrive without a pause would never meet the timeout of a read.
        if (timeLeft() <= milliseconds(0)) {
            co_return m_impl->fail(asio::error::timed_out);
        }
        BOOST_OUTCOME_CO_TRY(auto piece, co_await readPiece(timeLeft()));
        if (!piece) {
            break;
        }
        if (response.body.size() + piece->size() > maxBodyBytes) {
            co_return m_impl->fail(HttpErrorCode::TooLarge, fmt::format("body of more than {} bytes", maxBodyBytes));
        }
        response.body += *piece;
    }
    co_return response;
}

bool HttpConnection::reusable() const
{
    return !m_impl->unusable && !m_impl->inExchange && m_impl->socket.socket().is_open();
}

std::optional<seconds> HttpConnection::keepAliveTimeout() const
{
    return m_impl->keepAliveTimeout;
}

TimePoint HttpConnection::lastReadAt() const
{
    return m_impl->lastReadAt;
}

bool HttpConnection::hasUnreadBytes() const
{
    // The buffer holds nothing that a read would return: what is left there has to be completed by further bytes.
    return m_impl->peek() > 0;
}

bool HttpConnection::peerClosed() const
{
    return m_impl->peek() >= 0 || m_impl->takenError;
}

void HttpConnection::close()
{
    m_impl->unusable = true;
    beast::error_code ignored;
    m_impl->socket.socket().close(ignored);
}

asio::awaitable<Result<HttpResponse, HttpError>> httpExchange(Endpoint endpoint, HttpRequest request,
                                                              milliseconds timeout, std::size_t maxBodyBytes)
{
    BOOST_OUTCOME_CO_TRY(auto connection, co_await HttpConnection::connect(std::move(endpoint), timeout));
    request.headers.set("connection", "close");
    co_return co_await connection->exchange(std::move(request), timeout, maxBodyBytes);
}

} // namespace tamarackcove
