#include "ServerConnection.h"

#include "HttpConversion.h"
#include "MessageFraming.h"
#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <fmt/format.h>
#include <iterator>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::size_t ReadSize = 4096;
static constexpr unsigned Http11Version = 11;
static constexpr int NoContent = 204;
static constexpr int NotModified = 304;
/// How long, and for how many bytes, a connection is read on after the refusal of an unreadable request.
static constexpr milliseconds LingerTime{500};
static constexpr std::size_t MaxDiscardedBytes = 256 * 1024;

/// Counts a connection as busy while in scope, also when the request ends with an exception.
class BusyGuard
{
public:
    BusyGuard(std::size_t &busyConnections, bool &busy)
        : m_busyConnections(busyConnections)
        , m_busy(busy)
    {
        ++m_busyConnections;
        m_busy = true;
    }
    ~BusyGuard()
    {
        --m_busyConnections;
        m_busy = false;
    }
    BusyGuard(const BusyGuard &) = delete;
    BusyGuard &operator=(const BusyGuard &) = delete;

private:
    std::size_t &m_busyConnections;
    bool &m_busy;
};

asio::awaitable<void> ServerConnection::run()
{
    while (m_keepAlive && !m_closeSent && (!m_server.draining || m_isNew)) {
        HttpRequest request;
        if (!co_await readRequest(request)) {
            break;
        }
        const BusyGuard guard(m_server.busy, m_busy);
        m_isNew = false;
        m_requestBegun = false;
        co_await answer(request);
    }
    beast::error_code ignored;
    m_socket.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<Result<std::size_t, HttpError>> ServerConnection::readHead()
{
    MessageFraming framing(MessageKind::Request, m_server.limits.maxHeaderBytes);
    // The wait for the first byte has its own timeout, as a connection may stay idle for longer than a caller may take
    // to send a head.
    m_socket.expireAfter(m_server.limits.idleTimeout);
    bool begun = false;
    for (;;) {
        if (m_buffer.size() > 0) {
            BOOST_OUTCOME_CO_TRY(const auto headBytes, framing.examine(bufferedBytes()));
            if (headBytes) {
                co_return *headBytes;
            }
            m_requestBegun = true;
            if (!std::exchange(begun, true)) {
                m_socket.expireAfter(m_server.limits.headerTimeout);
            }
        }
        const auto [error, count] = co_await m_socket.readSome(m_buffer.prepare(ReadSize));
        if (error == asio::error::eof && m_buffer.size() > 0) {
            co_return HttpError{HttpErrorCode::Malformed, "an incomplete head"};
        }
        if (error) {
            co_return toHttpError(m_socket.translateError(error));
        }
        m_buffer.commit(count);
    }
}

asio::awaitable<bool> ServerConnection::readRequest(HttpRequest &request)
{
    const auto headBytes = co_await readHead();
    if (headBytes.has_error()) {
        m_socket.expireNever();
        co_await rejectUnreadable(headBytes.error());
        co_return false;
    }
    m_requestBegun = true;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_server.limits.maxHeaderBytes));
    parser.body_limit(m_server.limits.maxBodyBytes);
    beast::error_code error;
    m_buffer.consume(parser.put(asio::buffer(m_buffer.data(), headBytes.value()), error));
    if (!error) {
        m_isHttp10 = parser.get().version() < Http11Version;
        m_isHead = parser.get().method() == http::verb::head;
        // Fields of a trailer are not merged into those of the head: they were not there when the request was routed.
        request.headers = headersFromBeast(parser.get());
        if (beast::iequals(parser.get()[http::field::expect], "100-continue") && !parser.is_done()) {
            (void)co_await writeAll("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
    if (!error && !parser.is_done()) {
        m_socket.expireAfter(m_server.limits.requestTimeout);
        std::size_t bodyBytes = 0;
        std::tie(error, bodyBytes) = co_await http::async_read(m_socket.socket(), m_buffer, parser, UseTuple);
    }
    m_socket.expireNever();
    if (error) {
        auto reason = toHttpError(error);
        if (error == http::error::partial_message) {
            reason.code = HttpErrorCode::Malformed;
        } else if (error == http::error::need_more) {
            // The head is complete: the parser stops like this at a byte that does not belong there.
            reason = {HttpErrorCode::Malformed, "a control character in the head"};
        }
        co_await rejectUnreadable(std::move(reason));
        co_return false;
    }
    m_keepAlive = parser.get().keep_alive() && !m_isHttp10 && !m_server.closeAfterResponse;
    auto parsed = parser.release();
    request.method = std::string(parsed.method_string());
    request.target = std::string(parsed.target());
    request.body = std::move(parsed.body());
    co_return true;
}

asio::awaitable<void> ServerConnection::rejectUnreadable(HttpError error)
{
    if (error.code != HttpErrorCode::TooLarge && error.code != HttpErrorCode::Malformed) {
        co_return;
    }
    m_responseStarted = false;
    m_keepAlive = false;
    m_isHead = false;
    const bool tooLarge = error.code == HttpErrorCode::TooLarge;
    LogLine(LogLevel::Warning, "request_unreadable").add("reason", error.detail);
    (void)co_await send(jsonResponse(
        tooLarge ? 413 : 400,
        fmt::format(
            R"({{"error":{{"message":"request is {}: {}","type":"invalid_request_error","code":"{}","param":null}}}})",
            tooLarge ? "too large" : "malformed", error.detail, tooLarge ? "too_large" : "malformed")));
    co_await discardUnread();
}

asio::awaitable<void> ServerConnection::discardUnread()
{
    beast::error_code error;
    m_socket.socket().shutdown(tcp::socket::shutdown_send, error);
    m_buffer.clear();
    m_socket.expireAfter(LingerTime);
    std::size_t discarded = 0;
    while (!error && discarded < MaxDiscardedBytes && !m_socket.expired()) {
        std::size_t count = 0;
        std::tie(error, count) = co_await m_socket.readSome(m_buffer.prepare(ReadSize));
        discarded += count;
    }
    m_socket.expireNever();
}

asio::awaitable<void> ServerConnection::answer(const HttpRequest &request)
{
    m_responseStarted = false;
    m_streaming = false;
    m_streamEnded = false;
    try {
        co_await m_server.handler(request, *this);
    } catch (const boost::system::system_error &) {
        throw;
    } catch (const std::exception &error) {
        LogLine(LogLevel::Error, "handler_failed")
            .add("path", request.path())
            .add("reason", std::string_view(error.what()));
    }
    if (!m_responseStarted) {
        (void)co_await send(jsonResponse(
            500,
            R"({"error":{"message":"request failed inside this process","type":"server_error","code":"internal","param":null}})"));
    }
    if (m_streaming && !m_streamEnded) {
        // Closing the connection without the last chunk, or resetting it where there are no chunks, tells the caller
        // that the response is incomplete.
        m_keepAlive = false;
        if (m_isHttp10) {
            beast::error_code ignored;
            m_socket.socket().close(ignored);
        }
    }
}

std::string ServerConnection::headText(const HttpResponse &response, std::string_view framing) const
{
    std::string text = fmt::format(
        "HTTP/1.1 {} {}\r\n", response.status,
        std::string_view(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.status)))));
    for (const auto &[name, value] : response.headers.fields()) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    text += framing;
    if (!m_keepAlive || m_server.closeAfterResponse || m_server.draining) {
        m_closeSent = true;
        text += "connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

asio::awaitable<Result<void, HttpError>> ServerConnection::writeAll(std::string_view bytes)
{
    beast::error_code error;
    const auto written = m_socket.tryWrite(bytes, error);
    if (!error && written < bytes.size()) {
        // The kernel did not accept all bytes because the caller reads slowly. Only this case needs another coroutine.
        std::size_t writtenLater = 0;
        error = co_await m_socket.writeAll(bytes.substr(written), m_server.limits.writeTimeout, writtenLater);
    }
    m_socket.expireNever();
    if (error) {
        m_keepAlive = false;
        co_return toHttpError(error);
    }
    co_return ok();
}

asio::awaitable<Result<void, HttpError>> ServerConnection::send(HttpResponse response)
{
    assert(!m_responseStarted && "a request has one response");
    m_responseStarted = true;
    const bool hasBody = response.status != NoContent && response.status != NotModified;
    auto text = headText(response, hasBody ? fmt::format("content-length: {}\r\n", response.body.size()) : "");
    if (hasBody && !m_isHead) {
        text += response.body;
    }
    co_return co_await writeAll(text);
}

asio::awaitable<Result<void, HttpError>> ServerConnection::beginStream(HttpResponse head)
{
    assert(!m_responseStarted && "a request has one response");
    m_responseStarted = true;
    m_streaming = true;
    // Without chunks, the end of the connection ends the response; until endStream() it would be a reset.
    setResetOnClose(m_isHttp10);
    const auto text = headText(head, m_isHttp10 ? "" : "transfer-encoding: chunked\r\n");
    co_return co_await writeAll(text);
}

asio::awaitable<Result<void, HttpError>> ServerConnection::writePiece(std::string_view piece)
{
    assert(m_streaming && !m_streamEnded && !piece.empty()
           && "pieces are written between beginStream and endStream, and are not empty");
    if (m_isHead || m_isHttp10) {
        return writeAll(m_isHead ? std::string_view() : piece);
    }
    m_chunk.clear();
    fmt::format_to(std::back_inserter(m_chunk), "{:x}\r\n", piece.size());
    m_chunk += piece;
    m_chunk += "\r\n";
    return writeAll(m_chunk);
}

asio::awaitable<Result<void, HttpError>> ServerConnection::endStream()
{
    assert(m_streaming && !m_streamEnded && "endStream is called once, after beginStream");
    m_streamEnded = true;
    setResetOnClose(false);
    return writeAll(m_isHead || m_isHttp10 ? "" : "0\r\n\r\n");
}

void ServerConnection::setResetOnClose(bool reset)
{
    if (m_isHttp10) {
        beast::error_code ignored;
        m_socket.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
    }
}

bool ServerConnection::callerGone() const
{
    if (!m_socket.socket().is_open()) {
        return true;
    }
    char byte = 0;
    const auto received = ::recv(m_socket.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void ServerConnection::closeIfIdle(bool includeNew)
{
    char byte = 0;
    const bool requestArrived = ::recv(m_socket.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    if (m_busy || m_requestBegun || requestArrived || (m_isNew && !includeNew)) {
        return;
    }
    beast::error_code ignored;
    m_socket.socket().cancel(ignored);
}

} // namespace tamarackcove
