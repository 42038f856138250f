#include "tamarackcove/Wire/FramedConnection.h"
#include "tamarackcove/Supervision/Timer.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// Closes the socket when an operation on it exceeds its timeout. The constructor starts the timer, the destructor
/// cancels it. Precondition: the socket and the timer outlive this object.
class SocketDeadline
{
public:
    SocketDeadline(tcp::socket &socket, Timer &timer, milliseconds timeout)
        : m_timer(timer)
        , m_state(std::make_shared<State>(State{.socket = &socket}))
    {
        timer.expires_after(timeout);
        // The handler shares the state: when the expiry and the end of the operation are found in one poll, it runs
        // although the timer was cancelled, and possibly after the socket was destroyed.
        timer.async_wait([state = m_state](boost::system::error_code error) {
            if (!error && state->socket != nullptr) {
                state->expired = true;
                state->socket->close(error);
            }
        });
    }
    ~SocketDeadline()
    {
        m_state->socket = nullptr;
        m_timer.cancel();
    }
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

    [[nodiscard]] bool expired() const
    {
        return m_state->expired;
    }

private:
    struct State
    {
        /// Null once the operation has ended.
        tcp::socket *socket = nullptr;
        bool expired = false;
    };

    Timer &m_timer;
    std::shared_ptr<State> m_state;
};

struct FramedConnection::Impl
{
    explicit Impl(tcp::socket openSocket)
        : socket(std::move(openSocket))
        , readTimer(socket.get_executor())
        , writeTimer(socket.get_executor())
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
    }

    tcp::socket socket;
    Timer readTimer;
    Timer writeTimer;
    std::uint64_t bytesRead = 0;
    std::uint64_t bytesWritten = 0;
    std::vector<std::uint8_t> payload;
};

static WireError connectionError(bool expired, const boost::system::error_code &error)
{
    if (expired) {
        return WireError{WireErrorCode::TimedOut, "operation did not complete within its timeout"};
    }
    return WireError{WireErrorCode::Closed, error.message()};
}

FramedConnection::FramedConnection(tcp::socket socket)
    : m_impl(std::make_unique<Impl>(std::move(socket)))
{
}

FramedConnection::~FramedConnection() = default;

asio::awaitable<Result<std::unique_ptr<FramedConnection>, WireError>> FramedConnection::connect(Endpoint endpoint,
                                                                                                milliseconds timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    tcp::socket socket(executor);
    Timer timer(executor);
    boost::system::error_code error;
    const tcp::endpoint address(asio::ip::make_address(endpoint.host, error), endpoint.port);
    if (error) {
        co_return WireError{WireErrorCode::ConnectFailed, endpoint.toString() + " is not an IP address and port"};
    }
    {
        const SocketDeadline deadline(socket, timer, timeout);
        std::tie(error) = co_await socket.async_connect(address, UseTuple);
    }
    if (error) {
        co_return WireError{WireErrorCode::ConnectFailed, endpoint.toString() + ": " + error.message()};
    }
    co_return std::make_unique<FramedConnection>(std::move(socket));
}

asio::awaitable<Result<Message, WireError>> FramedConnection::read(milliseconds timeout)
{
    auto &impl = *m_impl;
    const SocketDeadline deadline(impl.socket, impl.readTimer, timeout);
    std::array<std::uint8_t, 4> lengthField{};
    auto [lengthError, lengthRead] = co_await asio::async_read(impl.socket, asio::buffer(lengthField), UseTuple);
    if (lengthError) {
        co_return connectionError(deadline.expired(), lengthError);
    }
    std::size_t length = 0;
    for (const auto byte : lengthField) {
        length = length << 8 | byte;
    }
    if (length > MaxFrameBytes) {
        close();
        co_return WireError{WireErrorCode::FrameTooLarge,
                            "frame length " + std::to_string(length) + " exceeds the maximum frame size"};
    }
    impl.payload.resize(length);
    auto [payloadError, payloadRead] = co_await asio::async_read(impl.socket, asio::buffer(impl.payload), UseTuple);
    if (payloadError) {
        co_return connectionError(deadline.expired(), payloadError);
    }
    impl.bytesRead += lengthRead + payloadRead;
    co_return decodeFrame(impl.payload);
}

asio::awaitable<Result<void, WireError>> FramedConnection::write(Message message, milliseconds timeout)
{
    auto frame = encodeFrame(message);
    if (frame.has_error()) {
        co_return std::move(frame).error();
    }
    auto &impl = *m_impl;
    const SocketDeadline deadline(impl.socket, impl.writeTimer, timeout);
    auto [error, written] = co_await asio::async_write(impl.socket, asio::buffer(frame.value()), UseTuple);
    if (error) {
        co_return connectionError(deadline.expired(), error);
    }
    impl.bytesWritten += written;
    co_return ok();
}

asio::awaitable<Result<void, WireError>> FramedConnection::write(std::vector<SharedFrame> frames, milliseconds timeout)
{
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(frames.size());
    for (const auto &frame : frames) {
        buffers.emplace_back(asio::buffer(*frame));
    }
    auto &impl = *m_impl;
    const SocketDeadline deadline(impl.socket, impl.writeTimer, timeout);
    auto [error, written] = co_await asio::async_write(impl.socket, buffers, UseTuple);
    if (error) {
        co_return connectionError(deadline.expired(), error);
    }
    impl.bytesWritten += written;
    co_return ok();
}

void FramedConnection::close()
{
    boost::system::error_code ignored;
    m_impl->socket.close(ignored);
}

std::string FramedConnection::peerName() const
{
    boost::system::error_code error;
    const auto peer = m_impl->socket.remote_endpoint(error);
    if (error) {
        return "disconnected";
    }
    return Endpoint{peer.address().to_string(), peer.port()}.toString();
}

std::uint64_t FramedConnection::bytesRead() const
{
    return m_impl->bytesRead;
}

std::uint64_t FramedConnection::bytesWritten() const
{
    return m_impl->bytesWritten;
}

} // namespace tamarackcove
