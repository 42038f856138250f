#include "../Supervision/RunThenStop.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Http/MemoryBudget.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

namespace asio = boost::asio;
using namespace tamarackcove;

static constexpr std::size_t Kb = 1024;
static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::string_view ChunkedHead = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Runs a client against a server with this budget. When the client has returned, waits until all connections have
/// ended, and checks that the budget got everything back.
static void withServer(const std::shared_ptr<MemoryBudget> &budget, HttpServer::Handler handler,
                       std::function<asio::awaitable<void>(Endpoint)> client)
{
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    HttpServer server(supervisor, {}, std::move(handler), budget);
    REQUIRE(server.listen({"127.0.0.1", 0}).has_value());
    supervisor.start("accept", [&server] { return server.run(); });
    const Endpoint endpoint{"127.0.0.1", server.port()};
    test::runThenStop(
        io, [&] { return client(endpoint); }, [&] { return supervisor.stop(); });
    CHECK(budget->bytes() == 0);
    CHECK(budget->connections() == 0);
}

static asio::awaitable<void> echo(const HttpRequest &request, HttpResponder &responder)
{
    HttpResponse response;
    response.body = request.body;
    (void)co_await responder.send(std::move(response));
}

static asio::awaitable<asio::ip::tcp::socket> openSocket(const Endpoint &endpoint)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({asio::ip::make_address(endpoint.host), endpoint.port}, asio::use_awaitable);
    co_return socket;
}

/// Sends the bytes and returns what the server sends until it closes the connection.
static asio::awaitable<std::string> sendRaw(Endpoint endpoint, std::string bytes)
{
    auto socket = co_await openSocket(endpoint);
    (void)co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
    std::string received;
    for (;;) {
        std::string piece(4 * Kb, '\0');
        const auto [error, count] = co_await socket.async_read_some(asio::buffer(piece), UseTuple);
        received.append(piece, 0, count);
        if (error) {
            co_return received;
        }
    }
}

static std::shared_ptr<MemoryBudget> makeBudget(std::size_t bytes)
{
    return std::make_shared<MemoryBudget>(MemoryBudget::Limits{.bytes = bytes, .connections = 16});
}

// Guards against a body that changes where it is held in pieces, enlarged, or written apart from its head.
TEST_CASE("a body of any size and any bytes arrives unchanged")
{
    const auto budget = makeBudget(8192 * Kb);
    withServer(budget, echo, [](Endpoint endpoint) -> asio::awaitable<void> {
        auto connection = co_await HttpConnection::connect(endpoint, seconds(5));
        REQUIRE(connection.has_value());
        for (const std::size_t size : {std::size_t(0), std::size_t(2), 16 * Kb - 1, 16 * Kb, 16 * Kb + 1, 3000 * Kb}) {
            std::string body(size, '\0');
            for (std::size_t i = 0; i < size; ++i) {
                body[i] = static_cast<char>(i * 31 % 256);
            }
            HttpRequest head;
            head.method = "POST";
            const auto written = co_await connection.value()->writeRequest(std::move(head), body, seconds(5));
            REQUIRE(written.has_value());
            CHECK(connection.value()->requestBytesWritten() > size);
            REQUIRE((co_await connection.value()->readHead(seconds(5))).has_value());
            std::string received;
            for (;;) {
                auto piece = co_await connection.value()->readPiece(seconds(5));
                REQUIRE(piece.has_value());
                if (!piece.value()) {
                    break;
                }
                received += *piece.value();
            }
            CHECK(received == body);
        }
    });
}

TEST_CASE("a chunked body with extensions and a trailer is read, and its trailer is no part of it")
{
    const auto budget = makeBudget(1024 * Kb);
    withServer(budget, echo, [](Endpoint endpoint) -> asio::awaitable<void> {
        const auto received
            = co_await sendRaw(endpoint,
                               "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "5;a=b\r\nhello\r\n6\r\n world\r\n0\r\nt: x\r\n\r\n");
        CHECK(received.starts_with("HTTP/1.1 200"));
        CHECK(received.ends_with("\r\n\r\nhello world"));
    });
}

// Guards against memory that grows without limit outside the body, on which the parser sets no limit.
TEST_CASE("chunk framing without end is refused with 413")
{
    const auto budget = makeBudget(1024 * Kb);
    std::string bytes(ChunkedHead);
    SUBCASE("trailer of one line")
    {
        bytes += "0\r\nt: " + std::string(64 * Kb, 'x');
    }
    SUBCASE("trailer of many lines after a body")
    {
        bytes += "1\r\nx\r\n0\r\n";
        while (bytes.size() < 64 * Kb) {
            bytes += "t: x\r\n";
        }
    }
    SUBCASE("chunk extension")
    {
        bytes += "1;x=" + std::string(64 * Kb, 'x');
    }
    withServer(budget, echo, [&bytes](Endpoint endpoint) -> asio::awaitable<void> {
        CHECK((co_await sendRaw(endpoint, bytes)).starts_with("HTTP/1.1 413"));
    });
}

// Guards against a refusal of a request that runs nevertheless, and against bytes that stay counted.
TEST_CASE("an unfinished body is shed with 503, and its request does not run")
{
    const auto budget = makeBudget(256 * Kb);
    int requests = 0;
    const auto count = [&requests](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        ++requests;
        co_await echo(request, responder);
    };
    withServer(budget, count, [&](Endpoint endpoint) -> asio::awaitable<void> {
        const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 204800\r\n\r\n";
        auto unfinished = co_await openSocket(endpoint);
        const auto part = head + std::string(200 * Kb - 1, 'x');
        co_await asio::async_write(unfinished, asio::buffer(part), asio::use_awaitable);
        while (budget->bytes() < 200 * Kb) {
            Timer pause(co_await asio::this_coro::executor, milliseconds(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        HttpRequest request;
        request.method = "POST";
        request.body = std::string(200 * Kb, 'y');
        const auto response = co_await httpExchange(endpoint, std::move(request), seconds(5));
        REQUIRE(response.has_value());
        CHECK(response.value().status == 200);
        std::string refusal(4 * Kb, '\0');
        const auto [error, size] = co_await unfinished.async_read_some(asio::buffer(refusal), UseTuple);
        CHECK_FALSE(error);
        CHECK(refusal.starts_with("HTTP/1.1 503"));
        CHECK(requests == 1);
    });
    CHECK(budget->counts().bodiesShed == 1);
}

// Guards against a request that is aborted to make room, and against one that is refused although it is small.
TEST_CASE("while running requests hold all memory, a further large body gets 503 and a small one is served")
{
    const auto budget = makeBudget(256 * Kb);
    bool held = false;
    const auto slow = [&held](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (request.body.size() == 200 * Kb && !std::exchange(held, true)) {
            Timer pause(co_await asio::this_coro::executor, milliseconds(300));
            co_await pause.async_wait(asio::use_awaitable);
        }
        co_await echo(request, responder);
    };
    withServer(budget, slow, [&](Endpoint endpoint) -> asio::awaitable<void> {
        auto first = co_await HttpConnection::connect(endpoint, seconds(5));
        REQUIRE(first.has_value());
        const std::string body(200 * Kb, 'x');
        HttpRequest head;
        head.method = "POST";
        REQUIRE((co_await first.value()->writeRequest(std::move(head), body, seconds(5))).has_value());
        while (!held) {
            Timer pause(co_await asio::this_coro::executor, milliseconds(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        HttpRequest large;
        large.method = "POST";
        large.body = body;
        const auto refused = co_await httpExchange(endpoint, std::move(large), seconds(5));
        REQUIRE(refused.has_value());
        CHECK(refused.value().status == 503);
        HttpRequest small;
        small.method = "POST";
        small.body = "hello";
        const auto served = co_await httpExchange(endpoint, std::move(small), seconds(5));
        REQUIRE(served.has_value());
        CHECK(served.value().body == "hello");
        const auto finished = co_await first.value()->readHead(seconds(5));
        REQUIRE(finished.has_value());
        CHECK(finished.value().status == 200);
    });
}

// Guards against connections that send nothing and use up those that a process may have.
TEST_CASE("a connection beyond the limit replaces the oldest silent one")
{
    const auto budget = std::make_shared<MemoryBudget>(MemoryBudget::Limits{.bytes = 256 * Kb, .connections = 4});
    withServer(budget, echo, [](Endpoint endpoint) -> asio::awaitable<void> {
        constexpr std::size_t Connections = 20;
        std::vector<asio::ip::tcp::socket> silent;
        silent.reserve(Connections);
        for (std::size_t i = 0; i < Connections; ++i) {
            silent.push_back(co_await openSocket(endpoint));
        }
        HttpRequest request;
        const auto response = co_await httpExchange(endpoint, std::move(request), seconds(5));
        REQUIRE(response.has_value());
        CHECK(response.value().status == 200);
        char byte = 0;
        const auto [error, size] = co_await silent.front().async_read_some(asio::buffer(&byte, 1), UseTuple);
        CHECK(error == asio::error::eof);
    });
}
