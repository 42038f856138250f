#include "TimedSocket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

/// Shared with the pending wait of the timer, which can outlive the socket's owner.
struct TimedSocket::State
{
    explicit State(tcp::socket openSocket)
        : socket(std::move(openSocket))
        , timer(socket.get_executor())
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
    TimePoint deadline = TimePoint::max();
    /// When the pending wait ends; without one, the end of time.
    TimePoint timerAt = TimePoint::max();
    bool expired = false;
    bool closed = false;
};

TimedSocket::TimedSocket(tcp::socket socket)
    : m_state(std::make_shared<State>(std::move(socket)))
{
}

TimedSocket::~TimedSocket()
{
    m_state->closed = true;
    m_state->timer.cancel();
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
}

tcp::socket &TimedSocket::socket() const
{
    return m_state->socket;
}

void TimedSocket::allowDirectWrites()
{
    boost::system::error_code ignored;
    m_state->socket.non_blocking(true, ignored);
}

void TimedSocket::expireAfter(milliseconds timeout)
{
    auto &state = *m_state;
    state.deadline = Clock::now() + timeout;
    if (state.deadline < state.timerAt) {
        wait(m_state);
    }
}

void TimedSocket::expireNever()
{
    m_state->deadline = TimePoint::max();
}

void TimedSocket::wait(const std::shared_ptr<State> &state)
{
    state->timerAt = state->deadline;
    state->timer.expires_at(state->timerAt);
    state->timer.async_wait([state](const boost::system::error_code &error) {
        if (state->closed || error == asio::error::operation_aborted) {
            return;
        }
        state->timerAt = TimePoint::max();
        if (state->deadline == TimePoint::max()) {
            return;
        }
        if (Clock::now() < state->deadline) {
            wait(state);
            return;
        }
        state->expired = true;
        boost::system::error_code ignored;
        state->socket.cancel(ignored);
    });
}

boost::system::error_code TimedSocket::cause(const boost::system::error_code &error) const
{
    const bool byDeadline = m_state->expired && error == asio::error::operation_aborted;
    return byDeadline ? boost::system::error_code(asio::error::timed_out) : error;
}

std::size_t TimedSocket::writeNow(std::string_view bytes, boost::system::error_code &error)
{
    const auto written = m_state->socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        error = {};
    }
    return written;
}

asio::awaitable<boost::system::error_code> TimedSocket::writeAll(std::string_view bytes, milliseconds timeout,
                                                                 std::size_t &written)
{
    written = 0;
    boost::system::error_code error;
    while (written < bytes.size()) {
        const auto rest = asio::buffer(bytes.data() + written, bytes.size() - written);
        written += m_state->socket.write_some(rest, error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            expireAfter(timeout);
            std::size_t count = 0;
            std::tie(error, count)
                = co_await m_state->socket.async_write_some(rest, asio::as_tuple(asio::use_awaitable));
            written += count;
        }
        if (error) {
            co_return cause(error);
        }
    }
    co_return error;
}

} // namespace tamarackcove
