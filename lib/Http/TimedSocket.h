#pragma once

#include "tamarackcove/Base/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <string_view>

namespace tamarackcove {

/// A TCP socket whose reads and writes have deadlines.
///
/// One timer serves all operations: a new deadline only stores a time, and the timer sets itself again when it finds
/// that the time has moved. Setting and cancelling a timer for every relayed token cost more than the rest of the
/// relay outside the kernel.
/// Thread safety: used on one thread; at most one operation at a time.
class TimedSocket
{
public:
    explicit TimedSocket(boost::asio::ip::tcp::socket socket);
    ~TimedSocket();
    TimedSocket(const TimedSocket &) = delete;
    TimedSocket &operator=(const TimedSocket &) = delete;

    [[nodiscard]] boost::asio::ip::tcp::socket &socket() const;
    /// Makes writes try the kernel first, which takes the bytes at once unless the peer is slow.
    /// Precondition: the socket is open.
    void allowDirectWrites();

    /// The operations that start from now on must end within the timeout.
    void expireAfter(milliseconds timeout);
    void expireNever();
    /// What an operation failed with: timed_out when the deadline ended it.
    [[nodiscard]] boost::system::error_code cause(const boost::system::error_code &error) const;

    /// Reads what has arrived, or waits for it.
    template<typename Buffer>
    [[nodiscard]] auto readSome(const Buffer &buffer, milliseconds timeout)
    {
        expireAfter(timeout);
        return socket().async_read_some(buffer, boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    /// Writes what the kernel takes at once, and returns how much that was. Precondition: allowDirectWrites() was
    /// called.
    [[nodiscard]] std::size_t writeNow(std::string_view bytes, boost::system::error_code &error);

    /// Writes all bytes; `written` counts them also when it fails.
    boost::asio::awaitable<boost::system::error_code> writeAll(std::string_view bytes, milliseconds timeout,
                                                               std::size_t &written);

private:
    struct State;
    static void wait(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace tamarackcove
