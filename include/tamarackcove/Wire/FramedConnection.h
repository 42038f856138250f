#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Wire/Codec.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace tamarackcove {

/// A TCP connection that carries frames between our own processes.
///
/// Thread safety: used on one thread. One coroutine may read while one other writes.
class FramedConnection
{
public:
    explicit FramedConnection(boost::asio::ip::tcp::socket socket);
    ~FramedConnection();
    FramedConnection(const FramedConnection &) = delete;
    FramedConnection &operator=(const FramedConnection &) = delete;

    static boost::asio::awaitable<Result<std::unique_ptr<FramedConnection>, WireError>> connect(Endpoint endpoint,
                                                                                                milliseconds timeout);

    /// Reads one message. Fails with TimedOut when no complete message arrives within the timeout; the connection is
    /// then closed.
    boost::asio::awaitable<Result<Message, WireError>> read(milliseconds timeout);

    /// Writes one message. Fails with TimedOut when the peer does not accept all of it within the timeout; the
    /// connection is then closed.
    boost::asio::awaitable<Result<void, WireError>> write(Message message, milliseconds timeout);

    /// Writes frames that encodeFrame() has made, in this order. Fails like write().
    boost::asio::awaitable<Result<void, WireError>> write(std::vector<SharedFrame> frames, milliseconds timeout);

    /// Closes the socket. Pending reads and writes fail with Closed.
    void close();

    /// The address and port of the peer, or `disconnected`.
    [[nodiscard]] std::string peerName() const;
    [[nodiscard]] std::uint64_t bytesRead() const;
    [[nodiscard]] std::uint64_t bytesWritten() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
