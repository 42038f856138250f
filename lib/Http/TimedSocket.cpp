#include "TimedSocket.h"

#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

/// Shared with the handler of the pending timer wait, which can run after the TimedSocket is destroyed.
struct TimedSocket::State
{
    explicit State(tcp::socket openSocket)
        : socket(std::move(openSocket))
        , timer(socket.get_executor())
    {
    }

    tcp::socket socket;
    Timer timer;
    TimePoint deadline = TimePoint::max();
    /// When the pending timer wait ends; TimePoint::max() when none is pending.
    TimePoint timerExpiry = TimePoint::max();
    std::function<milliseconds()> onExpiry;
    /// Whether the present deadline has passed and the operation pending then was cancelled.
    bool expired = false;
    /// Whether the TimedSocket is destroyed.
    bool destroyed = false;
};

TimedSocket::TimedSocket(tcp::socket socket)
    : m_state(std::make_shared<State>(std::move(socket)))
{
}

TimedSocket::~TimedSocket()
{
    m_state->destroyed = true;
    m_state->timer.cancel();
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
}

tcp::socket &TimedSocket::socket() const
{
    return m_state->socket;
}

void TimedSocket::setNonBlocking()
{
    boost::system::error_code ignored;
    m_state->socket.non_blocking(true, ignored);
}

void TimedSocket::expireAfter(milliseconds timeout)
{
    auto &state = *m_state;
    state.expired = false;
    state.deadline = Clock::now() + timeout;
    if (state.deadline < state.timerExpiry) {
        startTimer(m_state);
    }
}

void TimedSocket::expireNever()
{
    m_state->deadline = TimePoint::max();
}

bool TimedSocket::expired() const
{
    return m_state->expired;
}

void TimedSocket::setExpiryHook(std::function<milliseconds()> onExpiry)
{
    m_state->onExpiry = std::move(onExpiry);
}

void TimedSocket::startTimer(const std::shared_ptr<State> &state)
{
    state->timerExpiry = state->deadline;
    state->timer.expires_at(state->timerExpiry);
    state->timer.async_wait([state](const boost::system::error_code &error) {
        if (state->destroyed || error == asio::error::operation_aborted) {
            return;
        }
        state->timerExpiry = TimePoint::max();
        if (state->deadline == TimePoint::max()) {
            return;
        }
        if (Clock::now() < state->deadline) {
            startTimer(state);
            return;
        }
        const auto extension = state->onExpiry ? state->onExpiry() : milliseconds(0);
        if (extension > milliseconds(0)) {
            state->deadline = Clock::now() + extension;
            startTimer(state);
            return;
        }
        state->expired = true;
        boost::system::error_code ignored;
        state->socket.cancel(ignored);
    });
}

boost::system::error_code TimedSocket::translateError(const boost::system::error_code &error) const
{
    const bool cancelledByDeadline = m_state->expired && error == asio::error::operation_aborted;
    return cancelledByDeadline ? boost::system::error_code(asio::error::timed_out) : error;
}

std::size_t TimedSocket::tryWrite(std::string_view bytes, boost::system::error_code &error)
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
            co_return translateError(error);
        }
    }
    co_return error;
}

} // namespace tamarackcove
