#include "ServerConnection.h"

#include "HttpConversion.h"
#include "MessageFraming.h"
#include "tamarackcove/Observe/LogLine.h"

#include <algorithm>
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

static constexpr std::size_t ReadSize = 4096;
/// A read buffer that has grown for a body is freed with it.
static constexpr std::size_t KeptBufferBytes = 8 * 1024;
/// Longer bodies are written by a call of their own instead of being copied behind their head.
static constexpr std::size_t MaxCopiedBodyBytes = 16 * 1024;
static constexpr unsigned Http11Version = 11;
static constexpr int NoContent = 204;
static constexpr int FirstServerError = 500;
static constexpr int ServiceUnavailable = 503;
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

bool ServerConnection::admit()
{
    if (m_account.open(Clock::now())) {
        return true;
    }
    m_server.logLoss("connection_refused", m_connectionNumber, 0, Clock::now());
    return false;
}

void ServerConnection::giveUp(MemoryAccount::Loss loss)
{
    beast::error_code ignored;
    if (loss == MemoryAccount::Loss::Connection) {
        m_server.logLoss(m_wholeAnswer ? "answer" : "connection", m_connectionNumber, 0, m_account.since());
        m_socket.socket().close(ignored);
        return;
    }
    m_server.logLoss("body", m_connectionNumber, m_incomingBody ? m_incomingBody->size() : 0, m_account.since());
    m_bodyShed = true;
    if (m_incomingBody != nullptr) {
        std::string().swap(*m_incomingBody);
    }
    m_socket.socket().cancel(ignored);
}

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
        if (!m_account.startRequest(Clock::now())) {
            m_server.logLoss("request_refused", m_connectionNumber, request.body.size(), m_account.since());
            std::string().swap(request.body);
            m_account.release();
            co_await refuse(ServiceUnavailable, "too many requests are in progress", "too_many_requests");
            break;
        }
        co_await answer(request);
        m_account.release();
        m_wholeAnswer = false;
    }
    beast::error_code ignored;
    m_socket.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<Result<std::size_t, HttpError>> ServerConnection::readHead()
{
    MessageFraming framing(MessageKind::Request, m_server.limits.maxHeaderBytes);
    m_account.setReceiving(Clock::now());
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
                m_account.setReceiving(Clock::now());
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
    RequestParser parser;
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
    m_socket.expireNever();
    if (error) {
        auto reason = toHttpError(error);
        if (error == http::error::need_more) {
            // The head is complete: the parser stops like this at a byte that does not belong there.
            reason = {HttpErrorCode::Malformed, "a control character in the head"};
        }
        co_await rejectUnreadable(std::move(reason));
        co_return false;
    }
    if (!parser.is_done()) {
        m_bodyShed = false;
        m_incomingBody = &request.body;
        auto read = co_await readBody(parser, request.body);
        m_incomingBody = nullptr;
        m_socket.expireNever();
        if (m_buffer.size() == 0 && m_buffer.capacity() > KeptBufferBytes) {
            m_buffer.shrink_to_fit();
        }
        if (m_bodyShed || read.has_error()) {
            std::string().swap(request.body);
            m_account.release();
            if (m_bodyShed) {
                co_await refuse(ServiceUnavailable, "no memory is left for the request", "out_of_memory");
            } else {
                co_await rejectUnreadable(std::move(read).error());
            }
            co_return false;
        }
    }
    m_keepAlive = parser.get().keep_alive() && !m_isHttp10 && !m_server.closeAfterResponse;
    auto parsed = parser.release();
    request.method = std::string(parsed.method_string());
    request.target = std::string(parsed.target());
    co_return true;
}

asio::awaitable<void> ServerConnection::rejectUnreadable(HttpError error)
{
    if (error.code != HttpErrorCode::TooLarge && error.code != HttpErrorCode::Malformed) {
        co_return;
    }
    const bool tooLarge = error.code == HttpErrorCode::TooLarge;
    LogLine(LogLevel::Warning, "request_unreadable").add("reason", error.detail);
    const auto message = fmt::format("request is {}: {}", tooLarge ? "too large" : "malformed", error.detail);
    co_await refuse(tooLarge ? 413 : 400, message, tooLarge ? "too_large" : "malformed");
}

asio::awaitable<void> ServerConnection::refuse(int status, std::string_view message, std::string_view code)
{
    m_responseStarted = false;
    m_keepAlive = false;
    m_isHead = false;
    auto response
        = jsonResponse(status,
                       fmt::format(R"({{"error":{{"message":"{}","type":"{}","code":"{}","param":null}}}})", message,
                                   status < FirstServerError ? "invalid_request_error" : "server_error", code));
    if (status == ServiceUnavailable) {
        response.headers.set("retry-after", "1");
    }
    (void)co_await send(std::move(response));
    m_wholeAnswer = false;
    m_account.setReceiving(m_account.since());
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
    m_wholeAnswer = false;
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

asio::awaitable<Result<void, HttpError>> ServerConnection::writeAll(std::string_view bytes, std::string_view more)
{
    beast::error_code error;
    bytes.remove_prefix(m_socket.tryWrite(bytes, error));
    if (!error && bytes.empty() && !more.empty()) {
        more.remove_prefix(m_socket.tryWrite(more, error));
    }
    if (!error && (!bytes.empty() || !more.empty())) {
        // The kernel did not accept all bytes because the caller reads slowly. Only this case needs another coroutine.
        co_return co_await writeSlowly(bytes, more);
    }
    m_socket.expireNever();
    if (error) {
        m_keepAlive = false;
        co_return toHttpError(error);
    }
    co_return ok();
}

asio::awaitable<Result<void, HttpError>> ServerConnection::writeSlowly(std::string_view bytes, std::string_view more)
{
    // The kernel holds as much again as its buffer for its own bookkeeping.
    constexpr std::size_t KernelBytes = 2 * MemoryBudget::SocketBufferBytes;
    const auto heldBytes = m_account.bytes();
    if (m_wholeAnswer) {
        m_account.setAnswered(Clock::now());
    }
    beast::error_code error;
    // A stream is written on without room in the budget: its request is still running.
    if (!m_account.resize(heldBytes + bytes.size() + more.size() + KernelBytes) && m_wholeAnswer) {
        m_server.logLoss("answer_refused", m_connectionNumber, bytes.size() + more.size(), m_account.since());
        m_socket.socket().close(error);
        error = asio::error::operation_aborted;
    }
    for (const auto part : {bytes, more}) {
        std::size_t written = 0;
        if (!error) {
            error = co_await m_socket.writeAll(part, m_server.limits.writeTimeout, written);
        }
    }
    (void)m_account.resize(std::min(heldBytes, m_account.bytes()));
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
    m_wholeAnswer = true;
    const bool hasBody = response.status != NoContent && response.status != NotModified;
    auto text = headText(response, hasBody ? fmt::format("content-length: {}\r\n", response.body.size()) : "");
    std::string_view body = hasBody && !m_isHead ? std::string_view(response.body) : std::string_view();
    if (body.size() <= MaxCopiedBodyBytes) {
        text += std::exchange(body, {});
    }
    co_return co_await writeAll(text, body);
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
