#include "tamarackcove/Wire/FramedConnection.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// The timeout of the operations in one direction.
struct OperationTimeout
{
    explicit OperationTimeout(const asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    /// Changes when an operation begins and when it ends, so that a timer handler can tell whether its own is in
    /// progress.
    std::uint64_t operation = 0;
    /// Whether the last operation exceeded its timeout.
    bool expired = false;
};

/// A socket and the timeouts of its operations, shared with the handlers of the timers, which can run after the
/// connection is destroyed.
struct TimeoutSocket
{
    explicit TimeoutSocket(tcp::socket openSocket)
        : socket(std::move(openSocket))
        , read(socket.get_executor())
        , write(socket.get_executor())
    {
    }

    tcp::socket socket;
    OperationTimeout read;
    OperationTimeout write;
};

/// Closes the socket and sets `expired` when an operation on it exceeds its timeout. The constructor starts the timer,
/// the destructor cancels it; a handler that is already due then does nothing.
class SocketDeadline
{
public:
    SocketDeadline(const std::shared_ptr<TimeoutSocket> &shared, OperationTimeout TimeoutSocket::*direction,
                   milliseconds timeout)
        : m_shared(shared)
        , m_timeout(shared.get()->*direction)
    {
        const auto operation = ++m_timeout.operation;
        m_timeout.expired = false;
        m_timeout.timer.expires_after(timeout);
        m_timeout.timer.async_wait([shared, direction, operation](boost::system::error_code error) {
            auto &own = shared.get()->*direction;
            if (!error && own.operation == operation) {
                own.expired = true;
                shared->socket.close(error);
            }
        });
    }
    ~SocketDeadline()
    {
        ++m_timeout.operation;
        m_timeout.timer.cancel();
    }
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

private:
    std::shared_ptr<TimeoutSocket> m_shared;
    OperationTimeout &m_timeout;
};

struct FramedConnection::Impl
{
    explicit Impl(tcp::socket openSocket)
        : shared(std::make_shared<TimeoutSocket>(std::move(openSocket)))
        , socket(shared->socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
    }
    ~Impl()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    const std::shared_ptr<TimeoutSocket> shared;
    tcp::socket &socket;
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
    boost::system::error_code error;
    const tcp::endpoint address(asio::ip::make_address(endpoint.host, error), endpoint.port);
    if (error) {
        co_return WireError{WireErrorCode::ConnectFailed, endpoint.toString() + " is not an IP address and port"};
    }
    const auto shared = std::make_shared<TimeoutSocket>(tcp::socket(executor));
    {
        const SocketDeadline deadline(shared, &TimeoutSocket::write, timeout);
        std::tie(error) = co_await shared->socket.async_connect(address, UseTuple);
    }
    if (error) {
        co_return WireError{WireErrorCode::ConnectFailed, endpoint.toString() + ": " + error.message()};
    }
    co_return std::make_unique<FramedConnection>(std::move(shared->socket));
}

asio::awaitable<Result<Message, WireError>> FramedConnection::read(milliseconds timeout)
{
    auto &impl = *m_impl;
    const SocketDeadline deadline(impl.shared, &TimeoutSocket::read, timeout);
    std::array<std::uint8_t, 4> lengthField{};
    auto [lengthError, lengthRead] = co_await asio::async_read(impl.socket, asio::buffer(lengthField), UseTuple);
    if (lengthError) {
        co_return connectionError(impl.shared->read.expired, lengthError);
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
        co_return connectionError(impl.shared->read.expired, payloadError);
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
    const SocketDeadline deadline(impl.shared, &TimeoutSocket::write, timeout);
    auto [error, written] = co_await asio::async_write(impl.socket, asio::buffer(frame.value()), UseTuple);
    if (error) {
        co_return connectionError(impl.shared->write.expired, error);
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
    const SocketDeadline deadline(impl.shared, &TimeoutSocket::write, timeout);
    auto [error, written] = co_await asio::async_write(impl.socket, buffers, UseTuple);
    if (error) {
        co_return connectionError(impl.shared->write.expired, error);
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
