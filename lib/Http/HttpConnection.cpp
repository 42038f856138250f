#include "tamarackcove/Http/HttpConnection.h"

#include "HttpConversion.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <fmt/format.h>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::size_t PieceBytes = 16 * 1024;

struct HttpConnection::Impl
{
    explicit Impl(beast::tcp_stream openStream)
        : stream(std::move(openStream))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, PieceBytes> piece{};
    std::size_t requestBytesWritten = 0;
    TimePoint lastHeard = Clock::now();
    bool broken = false;
    bool inExchange = false;
};

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
        co_return HttpError{HttpErrorCode::ConnectFailed, endpoint.toString() + " is not an ip number and port"};
    }
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    std::tie(error) = co_await stream.async_connect(address, UseTuple);
    if (error) {
        const bool refused = error == asio::error::connection_refused;
        co_return HttpError{refused ? HttpErrorCode::ConnectRefused : HttpErrorCode::ConnectFailed,
                            endpoint.toString() + ": " + error.message()};
    }
    stream.socket().set_option(tcp::no_delay(true), error);
    co_return std::unique_ptr<HttpConnection>(new HttpConnection(std::make_unique<Impl>(std::move(stream))));
}

static std::string requestText(const HttpRequest &request)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    if (!request.headers.find("host")) {
        text += "host: tamarackcove\r\n";
    }
    for (const auto &[name, value] : request.headers.fields()) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    text += fmt::format("content-length: {}\r\n\r\n", request.body.size());
    text += request.body;
    return text;
}

asio::awaitable<Result<void, HttpError>> HttpConnection::writeRequest(HttpRequest request, milliseconds timeout)
{
    auto &impl = *m_impl;
    assert(!impl.inExchange && "the response before must be read to its end");
    impl.inExchange = true;
    impl.parser.emplace();
    impl.parser->body_limit(boost::none);
    const auto text = requestText(request);
    impl.stream.expires_after(timeout);
    auto [error, written] = co_await asio::async_write(impl.stream, asio::buffer(text), UseTuple);
    impl.requestBytesWritten = written;
    if (error) {
        impl.broken = true;
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
    impl.stream.expires_after(timeout);
    auto [error, bytes] = co_await http::async_read_header(impl.stream, impl.buffer, *impl.parser, UseTuple);
    if (error) {
        impl.broken = true;
        co_return toHttpError(error);
    }
    impl.lastHeard = Clock::now();
    HttpResponse response;
    response.status = static_cast<int>(impl.parser->get().result_int());
    response.headers = headersFromBeast(impl.parser->get());
    co_return response;
}

asio::awaitable<Result<std::optional<std::string>, HttpError>> HttpConnection::readPiece(milliseconds timeout)
{
    auto &impl = *m_impl;
    auto &parser = *impl.parser;
    while (!parser.is_done()) {
        auto &body = parser.get().body();
        body.data = impl.piece.data();
        body.size = impl.piece.size();
        impl.stream.expires_after(timeout);
        auto [error, bytes] = co_await http::async_read_some(impl.stream, impl.buffer, parser, UseTuple);
        if (error && error != http::error::need_buffer) {
            impl.broken = true;
            co_return toHttpError(error);
        }
        impl.lastHeard = Clock::now();
        const auto received = impl.piece.size() - body.size;
        if (received > 0) {
            co_return std::optional<std::string>(std::string(impl.piece.data(), received));
        }
    }
    impl.inExchange = false;
    if (!parser.keep_alive()) {
        impl.broken = true;
    }
    co_return std::optional<std::string>();
}

asio::awaitable<Result<HttpResponse, HttpError>> HttpConnection::exchange(HttpRequest request, milliseconds timeout)
{
    BOOST_OUTCOME_CO_TRY(co_await writeRequest(std::move(request), timeout));
    BOOST_OUTCOME_CO_TRY(auto response, co_await readHead(timeout));
    while (true) {
        BOOST_OUTCOME_CO_TRY(auto piece, co_await readPiece(timeout));
        if (!piece) {
            break;
        }
        response.body += *piece;
    }
    co_return response;
}

bool HttpConnection::reusable() const
{
    return !m_impl->broken && !m_impl->inExchange && m_impl->stream.socket().is_open();
}

TimePoint HttpConnection::lastHeard() const
{
    return m_impl->lastHeard;
}

bool HttpConnection::peerClosed() const
{
    char byte = 0;
    const auto received = ::recv(m_impl->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpConnection::close()
{
    m_impl->broken = true;
    m_impl->stream.close();
}

asio::awaitable<Result<HttpResponse, HttpError>> httpExchange(Endpoint endpoint, HttpRequest request,
                                                              milliseconds timeout)
{
    BOOST_OUTCOME_CO_TRY(auto connection, co_await HttpConnection::connect(std::move(endpoint), timeout));
    request.headers.set("connection", "close");
    co_return co_await connection->exchange(std::move(request), timeout);
}

} // namespace tamarackcove
