#include "tamarackcove/Wire/FramedConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <exception>
#include <memory>
#include <thread>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace tamarackcove;

/// Sends raw bytes to a FramedConnection and returns the result of its read().
static Result<Message, WireError> readRaw(std::vector<std::uint8_t> bytes, milliseconds timeout)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket sender(io);
    Result<Message, WireError> read = WireError{};
    // A sender that fails ends the run, because the receiver would wait for its connection without end.
    std::exception_ptr failure;
    const auto endOnFailure = [&](const std::exception_ptr &error) {
        if (error) {
            failure = error;
            io.stop();
        }
    };
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            co_await sender.async_connect(acceptor.local_endpoint(), asio::use_awaitable);
            co_await asio::async_write(sender, asio::buffer(bytes), asio::use_awaitable);
        },
        endOnFailure);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            FramedConnection connection(co_await acceptor.async_accept(asio::use_awaitable));
            read = co_await connection.read(timeout);
        },
        endOnFailure);
    io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return read;
}

TEST_CASE("a complete frame is decoded to the message that was encoded")
{
    const auto frame = encodeFrame({.type = "hello", .body = {{"entry", "e1"}}});
    const auto message = readRaw(frame.value(), seconds(5));
    REQUIRE(message.has_value());
    CHECK(message.value().type == "hello");
    CHECK(message.value().body.at("entry").get<std::string>() == "e1");
}

TEST_CASE("reading a truncated frame fails with a timeout and returns no partial message")
{
    auto frame = encodeFrame({.type = "hello", .body = {{"entry", "e1"}}}).value();
    frame.resize(frame.size() / 2);
    CHECK(readRaw(frame, milliseconds(50)).error().code == WireErrorCode::TimedOut);
}

TEST_CASE("frames with an excessive length, invalid msgpack or another protocol version are rejected")
{
    CHECK(readRaw({0xff, 0xff, 0xff, 0xff}, seconds(5)).error().code == WireErrorCode::FrameTooLarge);
    CHECK(readRaw({0, 0, 0, 2, 0xc1, 0xc1}, seconds(5)).error().code == WireErrorCode::BadFrame);
    std::vector<std::uint8_t> other{0, 0, 0, 0};
    nlohmann::json::to_msgpack({{"v", 2}, {"type", "x"}, {"body", nullptr}}, other);
    other[3] = static_cast<std::uint8_t>(other.size() - 4);
    CHECK(readRaw(other, seconds(5)).error().code == WireErrorCode::UnsupportedVersion);
}

// Guards against a timer handler that uses the connection after it was destroyed, which the address sanitizer reports.
TEST_CASE("a connection whose peer closes it at the moment of the timeout can be destroyed at once")
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket sender(io);
    sender.connect(acceptor.local_endpoint());
    auto connection = std::make_unique<FramedConnection>(acceptor.accept());
    constexpr milliseconds Timeout{10};
    Result<Message, WireError> read = WireError{};
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            read = co_await connection->read(Timeout);
            connection.reset();
        },
        asio::detached);
    io.poll();
    // Both the end of the stream and the end of the timeout are pending when the thread runs handlers again.
    sender.close();
    std::this_thread::sleep_for(Timeout * 3);
    io.run();
    REQUIRE(read.has_error());
    CHECK(read.error().code == WireErrorCode::Closed);
}

/// A process that was suspended finds the end of a connection and the expiry of its deadline in one poll of the
/// reactor. The end of the connection is handled first and destroys it, and the expiry must not access it afterwards.
TEST_CASE("a deadline that expires together with the end of its connection does not access the destroyed connection")
{
    constexpr milliseconds ReadTimeout{20};
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket sender(io);
    Result<Message, WireError> read = WireError{};
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            co_await sender.async_connect(acceptor.local_endpoint(), asio::use_awaitable);
            FramedConnection connection(co_await acceptor.async_accept(asio::use_awaitable));
            asio::post(io, [&sender, ReadTimeout] {
                sender.close();
                std::this_thread::sleep_for(2 * ReadTimeout);
            });
            read = co_await connection.read(ReadTimeout);
        },
        asio::detached);
    io.run();
    REQUIRE(read.has_error());
    CHECK(read.error().code == WireErrorCode::Closed);
}
