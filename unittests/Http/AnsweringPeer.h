#pragma once

#include "tamarackcove/Http/HttpConnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>

namespace tamarackcove::test {

/// Accepts one connection, reads the beginning of a request, answers with these bytes and ends the connection when
/// further bytes arrive or the client closes it.
inline boost::asio::awaitable<void> answerOnce(boost::asio::ip::tcp::acceptor &acceptor, const std::string &bytes)
{
    namespace asio = boost::asio;
    constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request(4096, '\0');
    (void)co_await socket.async_read_some(asio::buffer(request), UseTuple);
    (void)co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    (void)co_await socket.async_read_some(asio::buffer(request), UseTuple);
}

struct Exchanged
{
    Result<HttpResponse, HttpError> response = HttpError{};
    bool reusable = false;
};

/// The result of an exchange with a peer that answers with these bytes and then closes the connection.
inline Exchanged exchangeWith(const std::string &method, const std::string &bytes)
{
    namespace asio = boost::asio;
    using asio::ip::tcp;
    Exchanged exchanged;
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::co_spawn(io, answerOnce(acceptor, bytes), asio::detached);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            Endpoint endpoint{.host = "127.0.0.1", .port = acceptor.local_endpoint().port()};
            auto connection = co_await HttpConnection::connect(std::move(endpoint), seconds(5));
            REQUIRE(connection.has_value());
            HttpRequest request;
            request.method = method;
            exchanged.response = co_await connection.value()->exchange(std::move(request), seconds(5));
            exchanged.reusable = connection.value()->reusable();
        },
        asio::detached);
    io.run();
    return exchanged;
}

} // namespace tamarackcove::test
