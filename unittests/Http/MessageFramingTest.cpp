#include "../Supervision/RunThenStop.h"
#include "AnsweringPeer.h"
#include "Framings.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cctype>
#include <doctest/doctest.h>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace tamarackcove;
using test::exchangeWith;
using test::Framing;

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::string_view NextRequest = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";

struct Received
{
    /// All bytes until the server closed the connection.
    std::string bytes;
    /// Whether the connection was reset.
    bool reset = false;
    /// What the handler got.
    std::vector<HttpRequest> requests;
};

/// Sends the bytes to a server on one connection and reads until the server closes it.
static Received sendTo(HttpServer::Handler answer, std::string bytes)
{
    Received received;
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    constexpr HttpLimits Limits{
        .idleTimeout = milliseconds(200), .headerTimeout = milliseconds(500), .requestTimeout = milliseconds(500)};
    HttpServer server(supervisor, Limits,
                      [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
                          received.requests.push_back(request);
                          co_await answer(request, responder);
                      });
    REQUIRE(server.listen({"127.0.0.1", 0}).has_value());
    supervisor.start("accept", [&server] { return server.run(); });
    const auto client = [&]() -> asio::awaitable<void> {
        tcp::socket socket(io);
        co_await socket.async_connect({asio::ip::address_v4::loopback(), server.port()}, asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
        std::array<char, 4096> buffer{};
        for (;;) {
            const auto [error, count] = co_await socket.async_read_some(asio::buffer(buffer), UseTuple);
            if (error) {
                received.reset = error != asio::error::eof;
                break;
            }
            received.bytes.append(buffer.data(), count);
        }
    };
    test::runThenStop(io, client, [&] { return supervisor.stop(); });
    return received;
}

static asio::awaitable<void> answerOk(const HttpRequest &, HttpResponder &responder)
{
    HttpResponse response;
    response.body = "fine";
    (void)co_await responder.send(std::move(response));
}

static asio::awaitable<void> streamTwoPieces(const HttpRequest &, HttpResponder &responder)
{
    (void)co_await responder.beginStream(streamHead("text/plain"));
    (void)co_await responder.writePiece("one,");
    (void)co_await responder.writePiece("two");
    (void)co_await responder.endStream();
}

static asio::awaitable<void> cutStream(const HttpRequest &, HttpResponder &responder)
{
    (void)co_await responder.beginStream(streamHead("text/plain"));
    (void)co_await responder.writePiece("one,");
}

static std::string requestWith(const Framing &framing)
{
    return "POST /outer " + framing.version + "\r\nHost: h\r\n" + framing.fields + "\r\n" + framing.body;
}

// Guards against a request whose body is run as a further request because recipients disagree on where it ends.
TEST_CASE("a request that can be framed in more than one way is refused, and nothing after it on its connection is run")
{
    for (const auto &framing : test::framings()) {
        CAPTURE(framing.what);
        const auto received = sendTo(answerOk, requestWith(framing) + std::string(NextRequest));
        CAPTURE(received.bytes);
        CHECK_FALSE(received.reset);
        if (framing.accepted) {
            REQUIRE_FALSE(received.requests.empty());
            CHECK(received.requests.front().body == framing.passedOn);
            CHECK(received.bytes.starts_with("HTTP/1.1 200"));
            CHECK(received.requests.size() == (framing.version == "HTTP/1.1" ? 2 : 1));
            continue;
        }
        CHECK(received.requests.empty());
        CHECK(received.bytes.starts_with("HTTP/1.1 400"));
        CHECK(received.bytes.find("connection: close") != std::string::npos);
        CHECK(received.bytes.find("HTTP/1.1", 1) == std::string::npos);
    }
}

// Guards against a field that a server reads under another name than this process.
TEST_CASE("a request with a field whose name holds a byte that no name may hold is refused")
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    for (int value = 0; value < 256; ++value) {
        const auto byte = static_cast<char>(value);
        const bool isToken = value < 0x80 && (std::isalnum(value) != 0 || Marks.find(byte) != std::string_view::npos);
        // A colon ends the name.
        if (byte == ':') {
            continue;
        }
        CAPTURE(value);
        const auto received
            = sendTo(answerOk, std::string("GET / HTTP/1.1\r\nHost: h\r\nX-") + byte + "Field: 1\r\n\r\n");
        CHECK(received.requests.size() == (isToken ? 1 : 0));
        CHECK(received.bytes.starts_with(isToken ? "HTTP/1.1 200" : "HTTP/1.1 400"));
    }
}

// Guards against fields that arrive after the body and replace those by which the request was routed.
TEST_CASE("the fields of a trailer do not change those of the head")
{
    const auto received = sendTo(answerOk,
                                 "POST / HTTP/1.1\r\nHost: first\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "1\r\nx\r\n0\r\nHost: second\r\nX-New: 1\r\n\r\n");
    REQUIRE(received.requests.size() == 1);
    CHECK(received.requests.front().headers.find("host") == "first");
    CHECK_FALSE(received.requests.front().headers.find("x-new"));
}

// Guards against a body after a response that has none, which the caller takes for the next response.
TEST_CASE("the response to a HEAD request has no body")
{
    for (const auto &answer : {HttpServer::Handler(answerOk), HttpServer::Handler(streamTwoPieces)}) {
        const auto received = sendTo(answer, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(received.bytes.starts_with("HTTP/1.1 200"));
        CHECK(received.bytes.ends_with("\r\n\r\n"));
        CHECK(received.bytes.find("\r\n\r\n") == received.bytes.size() - 4);
    }
}

// Guards against chunk framing that a caller of HTTP/1.0 takes for a part of the body, and against a stream that looks
// complete to such a caller although it was broken off.
TEST_CASE("a stream to a caller of HTTP/1.0 has no chunks, ends with the connection, and is reset if it is broken off")
{
    constexpr std::string_view Request = "GET / HTTP/1.0\r\n\r\n";
    const auto whole = sendTo(streamTwoPieces, std::string(Request));
    CHECK(whole.bytes.ends_with("\r\n\r\none,two"));
    CHECK_FALSE(whole.reset);
    const auto cut = sendTo(cutStream, std::string(Request));
    CHECK(cut.reset);
}

// Guards against an answer whose end a server means elsewhere: what follows it would be read as the answer to the next
// request on the connection, or a body would be passed on that is not the server's.
TEST_CASE("a response that can be framed in more than one way fails, and its connection is not used again")
{
    for (const auto &framing : test::framings()) {
        CAPTURE(framing.what);
        const auto exchanged
            = exchangeWith("POST", framing.version + " 200 OK\r\n" + framing.fields + "\r\n" + framing.body);
        if (framing.accepted) {
            REQUIRE(exchanged.response.has_value());
            CHECK(exchanged.response.value().body == framing.passedOn);
            continue;
        }
        REQUIRE(exchanged.response.has_error());
        CHECK_FALSE(exchanged.reusable);
    }
}

// Guards against the body of a status that has none, which would be read as the answer to the next request.
TEST_CASE("a response without a body is complete after its head, and is refused if it announces one all the same")
{
    CHECK(exchangeWith("GET", "HTTP/1.1 204 No Content\r\n\r\n").reusable);
    CHECK(exchangeWith("GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").reusable);
    CHECK(exchangeWith("GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n").reusable);
    CHECK(exchangeWith("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n").reusable);
    CHECK(exchangeWith("GET", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nabcde").response.has_error());
    CHECK(exchangeWith("GET", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              .response.has_error());
    CHECK(exchangeWith("GET", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nabcdeHTTP/1.1 200 OK\r\n\r\n")
              .response.has_error());
}
