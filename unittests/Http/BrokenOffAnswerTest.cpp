#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Supervision/Timer.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <string_view>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace tamarackcove;

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr milliseconds Timeout{5000};
/// Enough for a segment to arrive on loopback.
static constexpr milliseconds ShortTime{50};
static constexpr std::string_view UnsizedAnswer = "HTTP/1.1 200 OK\r\n\r\npart";
/// Fits into the buffers of the kernel as a whole.
static constexpr std::size_t ShortBodyBytes = 40 * 1024;
/// Exceeds the buffers of the kernel.
static constexpr std::size_t LongBodyBytes = 32 * 1024 * 1024;
/// Limit on the receive buffer of a peer that leaves the rest of a short body in the send buffer of the client.
static constexpr int SmallReceiveBuffer = 4096;

using PeerTask = std::function<asio::awaitable<void>(tcp::socket &)>;
using ClientTask = std::function<asio::awaitable<void>(HttpConnection &)>;

/// Runs both ends of one connection. The peer begins when the first bytes of the request have arrived.
static void runBoth(PeerTask peer, ClientTask client, int receiveBufferBytes = 0)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    if (receiveBufferBytes > 0) {
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    }
    bool finished = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            std::array<char, 1024> request{};
            (void)co_await socket.async_read_some(asio::buffer(request), UseTuple);
            co_await peer(socket);
        },
        asio::detached);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            Endpoint endpoint{.host = "127.0.0.1", .port = acceptor.local_endpoint().port()};
            auto connection = co_await HttpConnection::connect(std::move(endpoint), Timeout);
            REQUIRE(connection.has_value());
            co_await client(*connection.value());
            finished = true;
        },
        asio::detached);
    io.run();
    CHECK(finished);
}

static asio::awaitable<void> sleepFor(milliseconds time)
{
    Timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

static HttpRequest requestWith(std::size_t bodyBytes)
{
    HttpRequest request;
    request.method = "POST";
    request.body.assign(bodyBytes, 'x');
    return request;
}

static void reset(tcp::socket &socket)
{
    socket.set_option(tcp::socket::linger(true, 0));
    socket.close();
}

static asio::awaitable<void> readPart(HttpConnection &connection)
{
    const auto head = co_await connection.readHead(Timeout);
    REQUIRE(head.has_value());
    const auto part = co_await connection.readPiece(Timeout);
    REQUIRE(part.has_value());
    CHECK(part.value() == "part");
}

static asio::awaitable<void> checkBrokenOff(HttpConnection &connection)
{
    const auto end = co_await connection.readPiece(Timeout);
    REQUIRE(end.has_error());
    CHECK(end.error().code == HttpErrorCode::Closed);
    CHECK_FALSE(connection.reusable());
}

// Guards against a part that is passed on as the whole answer after a check between two reads has taken the error of
// the socket, which the kernel reports once.
TEST_CASE("an answer that is reset is broken off although a check has noticed the reset before the read")
{
    const PeerTask sendsPart = [](tcp::socket &socket) -> asio::awaitable<void> {
        (void)co_await asio::async_write(socket, asio::buffer(UnsizedAnswer), UseTuple);
        co_await sleepFor(3 * ShortTime);
        reset(socket);
    };
    const auto readUntilReset = [](HttpConnection &connection) -> asio::awaitable<void> {
        const auto written = co_await connection.writeRequest(requestWith(0), Timeout);
        REQUIRE(written.has_value());
        co_await readPart(connection);
        const auto nothing = co_await connection.readPiece(ShortTime);
        REQUIRE(nothing.has_error());
        CHECK(nothing.error().code == HttpErrorCode::TimedOut);
        co_await sleepFor(4 * ShortTime);
    };
    SUBCASE("by a check for unread bytes")
    {
        runBoth(sendsPart, [&](HttpConnection &connection) -> asio::awaitable<void> {
            co_await readUntilReset(connection);
            CHECK_FALSE(connection.hasUnreadBytes());
            co_await checkBrokenOff(connection);
        });
    }
    SUBCASE("by a check for a closed connection")
    {
        runBoth(sendsPart, [&](HttpConnection &connection) -> asio::awaitable<void> {
            co_await readUntilReset(connection);
            CHECK(connection.peerClosed());
            co_await checkBrokenOff(connection);
        });
    }
    SUBCASE("by the read itself")
    {
        runBoth(sendsPart, [&](HttpConnection &connection) -> asio::awaitable<void> {
            co_await readUntilReset(connection);
            co_await checkBrokenOff(connection);
        });
    }
}

// Guards against the part that a server in trouble has sent of its answer: its end is in order, but the bytes of the
// request that it never read reset the connection.
TEST_CASE(
    "an answer that ends with its connection is broken off if the connection is reset with unread bytes of the request")
{
    milliseconds resetAfter{0};
    SUBCASE("at once")
    {
    }
    SUBCASE("later")
    {
        resetAfter = ShortTime;
    }
    const PeerTask endsWithoutReading = [&](tcp::socket &socket) -> asio::awaitable<void> {
        (void)co_await asio::async_write(socket, asio::buffer(UnsizedAnswer), UseTuple);
        socket.shutdown(tcp::socket::shutdown_send);
        if (resetAfter > milliseconds(0)) {
            co_await sleepFor(resetAfter);
        }
        socket.close();
    };
    const auto readWhole = [](HttpConnection &connection) -> asio::awaitable<void> {
        const auto written = co_await connection.writeRequest(requestWith(ShortBodyBytes), Timeout);
        REQUIRE(written.has_value());
        co_await readPart(connection);
        co_await checkBrokenOff(connection);
    };
    runBoth(endsWithoutReading, readWhole, SmallReceiveBuffer);
}

// Guards against a refusal of sound answers: a server may end its answer before it reads the rest of the request.
TEST_CASE("an answer that ends with its connection is complete if its server reads the rest of the request later")
{
    const PeerTask readsLater = [](tcp::socket &socket) -> asio::awaitable<void> {
        (void)co_await asio::async_write(socket, asio::buffer(UnsizedAnswer), UseTuple);
        socket.shutdown(tcp::socket::shutdown_send);
        co_await sleepFor(ShortTime);
        std::array<char, 4096> buffer{};
        for (;;) {
            const auto [error, count] = co_await socket.async_read_some(asio::buffer(buffer), UseTuple);
            if (error) {
                co_return;
            }
        }
    };
    const auto readWhole = [](HttpConnection &connection) -> asio::awaitable<void> {
        const auto written = co_await connection.writeRequest(requestWith(ShortBodyBytes), Timeout);
        REQUIRE(written.has_value());
        co_await readPart(connection);
        const auto end = co_await connection.readPiece(Timeout);
        REQUIRE(end.has_value());
        CHECK_FALSE(end.value());
    };
    runBoth(readsLater, readWhole, SmallReceiveBuffer);
}

// Guards against an answer that is read after a write has taken the error of the socket.
TEST_CASE("a reset while the request is being written is an error of the exchange")
{
    const PeerTask answersAtOnce = [](tcp::socket &socket) -> asio::awaitable<void> {
        (void)co_await asio::async_write(socket, asio::buffer(UnsizedAnswer), UseTuple);
        co_await sleepFor(ShortTime);
        reset(socket);
    };
    runBoth(answersAtOnce, [](HttpConnection &connection) -> asio::awaitable<void> {
        const auto response = co_await connection.exchange(requestWith(LongBodyBytes), Timeout);
        REQUIRE(response.has_error());
        CHECK(response.error().code == HttpErrorCode::Closed);
        CHECK(connection.requestBytesWritten() > 0);
        CHECK_FALSE(connection.reusable());
    });
}

// Guards against a refusal of whole answers: the end of an answer with a length does not depend on its connection.
TEST_CASE("an answer with a length is complete although its connection is reset after it")
{
    const PeerTask resetsAfterwards = [](tcp::socket &socket) -> asio::awaitable<void> {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
        (void)co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
        co_await sleepFor(ShortTime);
        reset(socket);
    };
    runBoth(resetsAfterwards, [](HttpConnection &connection) -> asio::awaitable<void> {
        const auto written = co_await connection.writeRequest(requestWith(ShortBodyBytes), Timeout);
        REQUIRE(written.has_value());
        co_await sleepFor(3 * ShortTime);
        co_await readPart(connection);
        const auto end = co_await connection.readPiece(Timeout);
        REQUIRE(end.has_value());
        CHECK_FALSE(end.value());
    });
}
