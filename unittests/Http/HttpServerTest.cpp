#include "tamarackcove/Http/HttpServer.h"

#include "../Supervision/RunThenStop.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/system_error.hpp>
#include <doctest/doctest.h>

namespace asio = boost::asio;
using namespace tamarackcove;

/// Runs a client coroutine against a server with these limits and this handler.
static void withServer(HttpLimits limits, HttpServer::Handler handler,
                       std::function<asio::awaitable<void>(Endpoint)> client)
{
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    HttpServer server(supervisor, limits, std::move(handler));
    REQUIRE(server.listen({"127.0.0.1", 0}).has_value());
    supervisor.start("accept", [&server] { return server.run(); });
    const Endpoint endpoint{"127.0.0.1", server.port()};
    test::runThenStop(
        io, [&] { return client(endpoint); }, [&] { return supervisor.stop(); });
}

static asio::awaitable<void> streamThreePieces(const HttpRequest &, HttpResponder &responder)
{
    (void)co_await responder.beginStream(streamHead("text/event-stream"));
    for (int i = 0; i < 3; ++i) {
        (void)co_await responder.writePiece("piece;");
    }
    (void)co_await responder.endStream();
}

TEST_CASE("a streamed response is received completely and its connection is reused for another request")
{
    withServer({}, streamThreePieces, [](Endpoint endpoint) -> asio::awaitable<void> {
        auto connection = co_await HttpConnection::connect(endpoint, seconds(5));
        REQUIRE(connection.has_value());
        for (int i = 0; i < 2; ++i) {
            HttpRequest request;
            const auto response = co_await connection.value()->exchange(std::move(request), seconds(5));
            REQUIRE(response.has_value());
            CHECK(response.value().body == "piece;piece;piece;");
            CHECK(connection.value()->reusable());
        }
    });
}

TEST_CASE("reading a stream that ends without its last chunk fails instead of returning a short body")
{
    const auto cutStream = [](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
        (void)co_await responder.beginStream(streamHead("text/plain"));
        (void)co_await responder.writePiece("half");
    };
    withServer({}, cutStream, [](Endpoint endpoint) -> asio::awaitable<void> {
        HttpRequest request;
        const auto response = co_await httpExchange(endpoint, std::move(request), seconds(5));
        REQUIRE(response.has_error());
        CHECK(response.error().code == HttpErrorCode::Closed);
    });
}

TEST_CASE("a request body over the limit is rejected with 413 and other requests are served")
{
    withServer({.maxBodyBytes = 10}, streamThreePieces, [](Endpoint endpoint) -> asio::awaitable<void> {
        HttpRequest large;
        large.method = "POST";
        large.body = std::string(100, 'x');
        const auto refused = co_await httpExchange(endpoint, std::move(large), seconds(5));
        REQUIRE(refused.has_value());
        CHECK(refused.value().status == 413);
        HttpRequest small;
        const auto served = co_await httpExchange(endpoint, std::move(small), seconds(5));
        REQUIRE(served.has_value());
        CHECK(served.value().status == 200);
    });
}

TEST_CASE("a connection that exceeds the header timeout is closed, an idle connection stays open")
{
    const HttpLimits limits{.idleTimeout = seconds(30), .headerTimeout = milliseconds(50)};
    withServer(limits, streamThreePieces, [](Endpoint endpoint) -> asio::awaitable<void> {
        auto idle = co_await HttpConnection::connect(endpoint, seconds(5));
        REQUIRE(idle.has_value());
        asio::ip::tcp::socket slow(co_await asio::this_coro::executor);
        co_await slow.async_connect({asio::ip::make_address(endpoint.host), endpoint.port}, asio::use_awaitable);
        co_await asio::async_write(slow, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHos")), asio::use_awaitable);
        std::array<char, 64> bytes{};
        const auto readStart = Clock::now();
        const auto [error, count]
            = co_await slow.async_read_some(asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
        CHECK(error);
        CHECK(count == 0);
        CHECK(Clock::now() - readStart < seconds(5));
        HttpRequest request;
        const auto served = co_await idle.value()->exchange(std::move(request), seconds(5));
        CHECK(served.has_value());
    });
}

// Guards against a drain that waits for a request that has ended.
TEST_CASE("a request whose handler throws an error of its connection is no longer counted as in progress")
{
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    const auto failing = [](const HttpRequest &, HttpResponder &) -> asio::awaitable<void> {
        throw boost::system::system_error(asio::error::connection_reset);
        co_return;
    };
    HttpServer server(supervisor, {}, failing);
    REQUIRE(server.listen({"127.0.0.1", 0}).has_value());
    supervisor.start("accept", [&server] { return server.run(); });
    Endpoint endpoint{"127.0.0.1", server.port()};
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            const auto response = co_await httpExchange(endpoint, std::move(request), seconds(5));
            CHECK(response.has_error());
            CHECK(server.openConnections() == 0);
            CHECK(server.busyConnections() == 0);
            co_await supervisor.stop();
        },
        asio::detached);
    io.run();
}

/// Sends the bytes without waiting, so that no other task of the thread runs before.
static asio::ip::tcp::socket connectAndSend(const asio::any_io_executor &executor, std::uint16_t port,
                                            std::string_view bytes)
{
    asio::ip::tcp::socket socket(executor);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    if (!bytes.empty()) {
        asio::write(socket, asio::buffer(bytes));
    }
    return socket;
}

static asio::awaitable<std::string> readToEnd(asio::ip::tcp::socket &socket)
{
    std::string all;
    std::array<char, 1024> buffer{};
    for (;;) {
        const auto [error, count]
            = co_await socket.async_read_some(asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return all + (error == asio::error::eof ? "" : "(" + error.message() + ")");
        }
        all.append(buffer.data(), count);
    }
}

// Guards against a planned stop that cuts off requests without an answer: those in the listen queue, those whose head
// has begun, and those of connections that were opened just before.
TEST_CASE("requests that have just arrived when the server begins to drain are answered")
{
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    HttpServer server(supervisor, {}, streamThreePieces);
    REQUIRE(server.listen({"127.0.0.1", 0}).has_value());
    supervisor.start("accept", [&server] { return server.run(); });
    const auto client = [&]() -> asio::awaitable<void> {
        constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        const auto port = server.port();
        const auto executor = io.get_executor();
        auto pause = [&](milliseconds time) -> asio::awaitable<void> {
            Timer timer(io, time);
            co_await timer.async_wait(asio::use_awaitable);
        };
        auto begun = connectAndSend(executor, port, Request.substr(0, 10));
        auto opened = connectAndSend(executor, port, "");
        auto silent = connectAndSend(executor, port, "");
        Endpoint endpoint{"127.0.0.1", port};
        auto idle = co_await HttpConnection::connect(std::move(endpoint), seconds(5));
        REQUIRE(idle.has_value());
        HttpRequest first;
        const auto firstAnswer = co_await idle.value()->exchange(std::move(first), seconds(5));
        REQUIRE(firstAnswer.has_value());
        REQUIRE(server.acceptedConnections() == 4);
        auto arrived = connectAndSend(executor, port, "");
        co_await pause(milliseconds(20));
        asio::write(arrived, asio::buffer(Request));
        auto queued = connectAndSend(executor, port, Request);
        auto queuedEmpty = connectAndSend(executor, port, "");
        server.beginDrain();
        co_await pause(milliseconds(20));
        asio::write(begun, asio::buffer(Request.substr(10)));
        asio::write(opened, asio::buffer(Request));
        asio::write(queuedEmpty, asio::buffer(Request));
        CHECK(idle.value()->peerClosed());
        for (auto *socket : {&begun, &opened, &arrived, &queued, &queuedEmpty}) {
            const auto answer = co_await readToEnd(*socket);
            CAPTURE(answer);
            CHECK(answer.starts_with("HTTP/1.1 200"));
            CHECK(answer.find("connection: close") != std::string::npos);
            CHECK(answer.ends_with("0\r\n\r\n"));
        }
        const auto silentAnswer = co_await readToEnd(silent);
        CHECK(silentAnswer == "");
    };
    test::runThenStop(io, client, [&] { return supervisor.stop(); });
}
