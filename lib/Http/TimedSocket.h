#pragma once

#include "tamarackcove/Base/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace tamarackcove {

/// A TCP socket whose reads and writes have deadlines.
///
/// One timer serves all operations. A later deadline is only stored; when the timer expires before the stored deadline,
/// its handler restarts the timer. Starting and cancelling a timer for every relayed token cost more than the rest of
/// the relay outside the kernel.
///
/// Thread safety: used on one thread; at most one operation at a time.
class TimedSocket
{
public:
    explicit TimedSocket(boost::asio::ip::tcp::socket socket);
    ~TimedSocket();
    TimedSocket(const TimedSocket &) = delete;
    TimedSocket &operator=(const TimedSocket &) = delete;

    [[nodiscard]] boost::asio::ip::tcp::socket &socket() const;
    /// Makes the socket non-blocking, so that writes pass their bytes to the kernel directly and wait only when the
    /// kernel cannot accept them because the peer reads slowly. Precondition: the socket is open.
    void setNonBlocking();

    /// Sets the deadline to the end of the timeout. When the deadline passes, the pending operation is cancelled.
    void expireAfter(milliseconds timeout);
    /// Removes the deadline.
    void expireNever();
    /// Whether the deadline that was set last has passed.
    [[nodiscard]] bool expired() const;
    /// Sets a hook that is called when the deadline passes. It returns the time by which the deadline is extended; zero
    /// lets it pass.
    void setExpiryHook(std::function<milliseconds()> onExpiry);
    /// Maps the error of an operation: timed_out when the deadline has cancelled it, otherwise the same error.
    [[nodiscard]] boost::system::error_code translateError(const boost::system::error_code &error) const;

    /// Reads the bytes that have arrived, and waits for at least one until the deadline. Precondition: the deadline has
    /// not passed.
    template<typename Buffer>
    [[nodiscard]] auto readSome(const Buffer &buffer)
    {
        return socket().async_read_some(buffer, boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    /// Writes the bytes that the kernel accepts without waiting, and returns their number; 0 with no error when it
    /// accepts none. Precondition: setNonBlocking() was called.
    [[nodiscard]] std::size_t tryWrite(std::string_view bytes, boost::system::error_code &error);

    /// Writes all bytes. `written` is the number of bytes accepted by the kernel, also after a failure. The timeout
    /// applies to each wait for the peer. Precondition: setNonBlocking() was called.
    boost::asio::awaitable<boost::system::error_code> writeAll(std::string_view bytes, milliseconds timeout,
                                                               std::size_t &written);

private:
    struct State;
    static void startTimer(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace tamarackcove
