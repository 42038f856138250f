#include "TaskWaits.h"

#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

asio::awaitable<void> waitUntilCancelled()
{
    Timer never(co_await asio::this_coro::executor, TimePoint::max());
    co_await asio::this_coro::throw_if_cancelled(false);
    boost::system::error_code ignored;
    co_await never.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_await asio::this_coro::reset_cancellation_state();
    co_await asio::this_coro::throw_if_cancelled(true);
}

asio::awaitable<void> pause(Duration duration)
{
    Timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace tamarackcove
