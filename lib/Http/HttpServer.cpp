#include "tamarackcove/Http/HttpServer.h"

#include "HttpConversion.h"
#include "TimedSocket.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Listening.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <fmt/format.h>
#include <iterator>
#include <set>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

class ServerConnection;

struct HttpServer::Impl
{
    Impl(Supervisor &supervisor, HttpLimits httpLimits, Handler requestHandler)
        : connections(supervisor)
        , limits(httpLimits)
        , handler(std::move(requestHandler))
        , acceptor(supervisor.executor())
    {
    }

    Supervisor &connections;
    HttpLimits limits;
    Handler handler;
    tcp::acceptor acceptor;
    std::set<ServerConnection *> open;
    std::size_t busy = 0;
    std::uint64_t accepted = 0;
    bool closing = false;
    bool draining = false;
};

/// One caller connection: reads a request, has it answered, and goes on until either side closes.
class ServerConnection final : public HttpResponder
{
public:
    ServerConnection(HttpServer::Impl &server, tcp::socket socket, std::uint64_t number)
        : m_server(server)
        , m_socket(std::move(socket))
        , m_number(number)
    {
        m_socket.allowDirectWrites();
        m_server.open.insert(this);
    }
    ~ServerConnection() override
    {
        m_server.open.erase(this);
    }
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    asio::awaitable<void> run();
    void closeIfIdle();

    asio::awaitable<Result<void, HttpError>> send(HttpResponse response) override;
    asio::awaitable<Result<void, HttpError>> beginStream(HttpResponse head) override;
    asio::awaitable<Result<void, HttpError>> writePiece(std::string_view piece) override;
    asio::awaitable<Result<void, HttpError>> endStream() override;
    [[nodiscard]] bool started() const override
    {
        return m_started;
    }
    [[nodiscard]] bool callerGone() const override;
    [[nodiscard]] std::uint64_t connectionNumber() const override
    {
        return m_number;
    }

private:
    asio::awaitable<bool> readRequest(HttpRequest &request);
    asio::awaitable<void> answer(const HttpRequest &request);
    asio::awaitable<void> rejectUnreadable(const beast::error_code &error);
    asio::awaitable<Result<void, HttpError>> writeAll(std::string_view bytes);
    [[nodiscard]] std::string headText(const HttpResponse &response, std::string_view framing) const;

    HttpServer::Impl &m_server;
    TimedSocket m_socket;
    /// Reused for every piece.
    std::string m_chunk;
    std::uint64_t m_number;
    beast::flat_buffer m_buffer;
    bool m_started = false;
    bool m_streaming = false;
    bool m_ended = false;
    bool m_keepAlive = true;
    /// The last response said that this connection ends.
    mutable bool m_saidClose = false;
    bool m_busy = false;
};

asio::awaitable<void> ServerConnection::run()
{
    while (m_keepAlive && !m_saidClose && !m_server.draining) {
        HttpRequest request;
        if (!co_await readRequest(request)) {
            break;
        }
        m_busy = true;
        ++m_server.busy;
        co_await answer(request);
        --m_server.busy;
        m_busy = false;
    }
    beast::error_code ignored;
    m_socket.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> ServerConnection::readRequest(HttpRequest &request)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_server.limits.maxHeaderBytes));
    parser.body_limit(m_server.limits.maxBodyBytes);
    // A caller may stay idle between requests for longer than it may take to send a head.
    if (m_buffer.size() == 0) {
        constexpr std::size_t ReadSize = 4096;
        m_socket.expireAfter(m_server.limits.idleTimeout);
        const auto [idleError, count]
            = co_await m_socket.socket().async_read_some(m_buffer.prepare(ReadSize), UseTuple);
        if (idleError) {
            m_socket.expireNever();
            co_return false;
        }
        m_buffer.commit(count);
    }
    m_socket.expireAfter(m_server.limits.headerTimeout);
    auto [error, headerBytes] = co_await http::async_read_header(m_socket.socket(), m_buffer, parser, UseTuple);
    if (!error) {
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            (void)co_await writeAll("HTTP/1.1 100 Continue\r\n\r\n");
        }
        m_socket.expireAfter(m_server.limits.requestTimeout);
        std::tie(error, headerBytes) = co_await http::async_read(m_socket.socket(), m_buffer, parser, UseTuple);
    }
    m_socket.expireNever();
    if (error) {
        co_await rejectUnreadable(error);
        co_return false;
    }
    m_keepAlive = parser.get().keep_alive() && !m_server.closing;
    request = fromBeast(parser.release());
    co_return true;
}

asio::awaitable<void> ServerConnection::rejectUnreadable(const beast::error_code &error)
{
    if (error == http::error::end_of_stream
        || error.category() != http::make_error_code(http::error::bad_method).category()) {
        co_return;
    }
    m_started = false;
    m_keepAlive = false;
    const bool tooLarge = error == http::error::body_limit || error == http::error::header_limit;
    LogLine(LogLevel::Warning, "request_unreadable").add("reason", error.message());
    (void)co_await send(jsonResponse(
        tooLarge ? 413 : 400,
        fmt::format(
            R"({{"error":{{"message":"request is {}: {}","type":"invalid_request_error","code":"{}","param":null}}}})",
            tooLarge ? "too large" : "malformed", error.message(), tooLarge ? "too_large" : "malformed")));
}

asio::awaitable<void> ServerConnection::answer(const HttpRequest &request)
{
    m_started = false;
    m_streaming = false;
    m_ended = false;
    try {
        co_await m_server.handler(request, *this);
    } catch (const boost::system::system_error &) {
        throw;
    } catch (const std::exception &error) {
        LogLine(LogLevel::Error, "handler_failed")
            .add("path", request.path())
            .add("reason", std::string_view(error.what()));
    }
    if (!m_started) {
        (void)co_await send(jsonResponse(
            500,
            R"({"error":{"message":"request failed inside this process","type":"server_error","code":"internal","param":null}})"));
    }
    if (m_streaming && !m_ended) {
        // A missing last chunk tells the caller that the response is incomplete.
        m_keepAlive = false;
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
    if (!m_keepAlive || m_server.closing || m_server.draining) {
        m_saidClose = true;
        text += "connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

asio::awaitable<Result<void, HttpError>> ServerConnection::writeAll(std::string_view bytes)
{
    beast::error_code error;
    const auto written = m_socket.writeNow(bytes, error);
    if (!error && written < bytes.size()) {
        // Only a slow caller needs another coroutine.
        std::size_t rest = 0;
        error = co_await m_socket.writeAll(bytes.substr(written), m_server.limits.writeTimeout, rest);
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
    assert(!m_started && "a request has one response");
    m_started = true;
    auto text = headText(response, fmt::format("content-length: {}\r\n", response.body.size()));
    text += response.body;
    co_return co_await writeAll(text);
}

asio::awaitable<Result<void, HttpError>> ServerConnection::beginStream(HttpResponse head)
{
    assert(!m_started && "a request has one response");
    m_started = true;
    m_streaming = true;
    const auto text = headText(head, "transfer-encoding: chunked\r\n");
    co_return co_await writeAll(text);
}

asio::awaitable<Result<void, HttpError>> ServerConnection::writePiece(std::string_view piece)
{
    assert(m_streaming && !m_ended && !piece.empty() && "pieces go between beginStream and endStream");
    m_chunk.clear();
    fmt::format_to(std::back_inserter(m_chunk), "{:x}\r\n", piece.size());
    m_chunk += piece;
    m_chunk += "\r\n";
    return writeAll(m_chunk);
}

asio::awaitable<Result<void, HttpError>> ServerConnection::endStream()
{
    assert(m_streaming && !m_ended && "a stream ends once");
    m_ended = true;
    return writeAll("0\r\n\r\n");
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

void ServerConnection::closeIfIdle()
{
    if (!m_busy) {
        beast::error_code ignored;
        m_socket.socket().cancel(ignored);
    }
}

HttpServer::HttpServer(Supervisor &connections, HttpLimits limits, Handler handler)
    : m_impl(std::make_unique<Impl>(connections, limits, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Result<void, HttpError> HttpServer::listen(const Endpoint &endpoint)
{
    const auto error = listenOn(m_impl->acceptor, endpoint);
    if (error) {
        return HttpError{HttpErrorCode::ConnectFailed,
                         "cannot listen on " + endpoint.toString() + ": " + error.message()};
    }
    return ok();
}

asio::awaitable<void> HttpServer::run()
{
    auto &impl = *m_impl;
    constexpr milliseconds AcceptPause{20};
    while (impl.acceptor.is_open()) {
        auto [error, socket] = co_await impl.acceptor.async_accept(UseTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            break;
        }
        if (error || impl.open.size() >= impl.limits.maxConnections) {
            // Out of descriptors, or at the connection limit: the caller sees its connection closed.
            LogLine(LogLevel::Warning, "connection_refused").add("open", static_cast<std::uint64_t>(impl.open.size()));
            asio::steady_timer pause(impl.connections.executor(), AcceptPause);
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto shared = std::make_shared<tcp::socket>(std::move(socket));
        const auto number = ++impl.accepted;
        impl.connections.startTemporary(fmt::format("connection-{}", number),
                                        [&impl, shared, number]() -> asio::awaitable<void> {
                                            ServerConnection connection(impl, std::move(*shared), number);
                                            co_await connection.run();
                                        });
    }
}

void HttpServer::setLimits(HttpLimits limits)
{
    m_impl->limits = limits;
}

void HttpServer::setClosing(bool closing)
{
    m_impl->closing = closing;
}

void HttpServer::beginDrain()
{
    m_impl->draining = true;
    beast::error_code ignored;
    m_impl->acceptor.close(ignored);
    for (auto *connection : m_impl->open) {
        connection->closeIfIdle();
    }
}

std::uint16_t HttpServer::port() const
{
    return m_impl->acceptor.local_endpoint().port();
}

std::size_t HttpServer::openConnections() const
{
    return m_impl->open.size();
}

std::uint64_t HttpServer::acceptedConnections() const
{
    return m_impl->accepted;
}

std::size_t HttpServer::busyConnections() const
{
    return m_impl->busy;
}

} // namespace tamarackcove
