#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace tamarackcove;

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Bytes after which the stand-in closes the connection, so that a client without a bound ends the test too.
static constexpr std::size_t MaxSentBytes = 96 * 1024 * 1024;
/// What the sockets on both sides of a loopback connection hold at most beyond what the client has read.
static constexpr std::size_t MaxKernelBytes = 12 * 1024 * 1024;
static constexpr std::string_view ChunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Bytes that a stand-in sends: `start` once, then `repeated` until the client closes the connection.
struct Sent
{
    std::string start;
    std::string repeated;
    /// Pause after each repetition.
    milliseconds pause{0};
};

/// Accepts one connection, reads the beginning of a request, and sends.
static asio::awaitable<void> sendWithoutEnd(tcp::acceptor &acceptor, Sent sent, std::size_t &sentBytes)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request(4096, '\0');
    (void)co_await socket.async_read_some(asio::buffer(request), UseTuple);
    auto [error, count] = co_await asio::async_write(socket, asio::buffer(sent.start), UseTuple);
    Timer timer(socket.get_executor());
    while (!error && sentBytes < MaxSentBytes && !sent.repeated.empty()) {
        std::tie(error, count) = co_await asio::async_write(socket, asio::buffer(sent.repeated), UseTuple);
        sentBytes += count;
        if (sent.pause > milliseconds(0)) {
            timer.expires_after(sent.pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

struct Received
{
    Result<HttpResponse, HttpError> response = HttpError{};
    std::size_t sentBytes = 0;
    Duration time{0};
};

/// The result of an exchange with a stand-in that sends these bytes.
static Received exchangeWith(Sent sent, milliseconds timeout)
{
    Received received;
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::co_spawn(io, sendWithoutEnd(acceptor, std::move(sent), received.sentBytes), asio::detached);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            Endpoint endpoint{.host = "127.0.0.1", .port = acceptor.local_endpoint().port()};
            HttpRequest request;
            const auto startTime = Clock::now();
            received.response = co_await httpExchange(std::move(endpoint), std::move(request), timeout);
            received.time = Clock::now() - startTime;
        },
        asio::detached);
    io.run();
    return received;
}

static std::string repeat(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

static void checkTooLarge(const Received &received)
{
    REQUIRE(received.response.has_error());
    CHECK(received.response.error().code == HttpErrorCode::TooLarge);
    CHECK(received.sentBytes < MaxKernelBytes);
}

// Guards against a head that takes memory and time for as long as the server sends.
TEST_CASE("a response head without end is given up at its size limit")
{
    SUBCASE("header fields")
    {
        checkTooLarge(exchangeWith({"HTTP/1.1 200 OK\r\n", repeat("x-field: value\r\n", 512)}, seconds(20)));
    }
    SUBCASE("one header field")
    {
        checkTooLarge(exchangeWith({"HTTP/1.1 200 OK\r\nx-field: ", repeat("value", 2048)}, seconds(20)));
    }
    SUBCASE("interim responses")
    {
        checkTooLarge(exchangeWith({"", repeat("HTTP/1.1 103 Early Hints\r\nx-field: v\r\n\r\n", 256)}, seconds(20)));
    }
}

// Guards against an interim response that is taken for the answer, while the answer itself stays on the connection and
// is then read as the answer to the next request.
TEST_CASE("interim responses before the response are skipped")
{
    const auto received = exchangeWith({"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                                        "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"
                                        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                                        ""},
                                       seconds(20));
    REQUIRE(received.response.has_value());
    CHECK(received.response.value().status == 200);
    CHECK(received.response.value().body == "ok");
    CHECK_FALSE(received.response.value().headers.find("link"));
}

// Guards against bytes of another protocol that are read as an HTTP response.
TEST_CASE("a switch of protocols that was not requested is an error")
{
    const auto received = exchangeWith(
        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", repeat("HTTP/1.1 200 OK\r\n\r\n", 64)}, seconds(20));
    REQUIRE(received.response.has_error());
    CHECK(received.response.error().code == HttpErrorCode::Malformed);
}

// Guards against framing that has no body bytes and takes memory and time for as long as the server sends.
TEST_CASE("chunk framing without end is given up at its size limit")
{
    SUBCASE("chunk extension")
    {
        checkTooLarge(exchangeWith({std::string(ChunkedHead) + "5;x=", repeat("value", 2048)}, seconds(20)));
    }
    SUBCASE("trailer fields")
    {
        checkTooLarge(
            exchangeWith({std::string(ChunkedHead) + "0\r\n", repeat("x-field: value\r\n", 512)}, seconds(20)));
    }
}

// Guards against a body that fills the memory of the process.
TEST_CASE("a response body without end is given up at its size limit")
{
    const auto body = std::string(65536, 'x');
    SUBCASE("chunked")
    {
        const auto received = exchangeWith({std::string(ChunkedHead), "10000\r\n" + body + "\r\n"}, seconds(20));
        REQUIRE(received.response.has_error());
        CHECK(received.response.error().code == HttpErrorCode::TooLarge);
        CHECK(received.sentBytes < HttpConnection::MaxExchangeBodyBytes + MaxKernelBytes);
    }
    SUBCASE("until the connection closes")
    {
        const auto received = exchangeWith({"HTTP/1.1 200 OK\r\n\r\n", body}, seconds(20));
        REQUIRE(received.response.has_error());
        CHECK(received.response.error().code == HttpErrorCode::TooLarge);
        CHECK(received.sentBytes < HttpConnection::MaxExchangeBodyBytes + MaxKernelBytes);
    }
}

// Guards against a server that sends a byte before each timeout and so holds the exchange open.
TEST_CASE("the timeout of an exchange limits its total time, however often bytes arrive")
{
    constexpr milliseconds Timeout{200};
    constexpr milliseconds Pause{20};
    // Allows for stalls of a busy machine; without a limit on the total time, the exchange does not end.
    constexpr seconds MaxTime{3};
    Sent sent;
    sent.pause = Pause;
    SUBCASE("head")
    {
        sent.start = "HTTP/1.1 200 OK\r\nx-field: ";
        sent.repeated = "v";
    }
    SUBCASE("interim responses")
    {
        sent.repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    SUBCASE("chunks")
    {
        sent.start = ChunkedHead;
        sent.repeated = "1\r\nx\r\n";
    }
    SUBCASE("chunk extension")
    {
        sent.start = std::string(ChunkedHead) + "5;x=";
        sent.repeated = "v";
    }
    const auto received = exchangeWith(sent, Timeout);
    REQUIRE(received.response.has_error());
    CHECK(received.response.error().code == HttpErrorCode::TimedOut);
    CHECK(received.time < MaxTime);
}
