#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>

namespace tamarackcove::test {

/// Runs `body` and then `stop`, and returns when the io_context has no more work. Rethrows the exception of `body`, or
/// else that of `stop`.
///
/// `stop` ends the tasks that would otherwise keep the io_context running. It runs also after an exception of `body`,
/// such as that of a failed REQUIRE. An exception of `stop` stops the io_context.
inline void runThenStop(boost::asio::io_context &io, const std::function<boost::asio::awaitable<void>()> &body,
                        const std::function<boost::asio::awaitable<void>()> &stop)
{
    std::exception_ptr failure;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void> {
            try {
                co_await body();
            } catch (...) {
                failure = std::current_exception();
            }
            co_await stop();
        },
        [&](const std::exception_ptr &stopFailure) {
            if (stopFailure) {
                failure = failure ? failure : stopFailure;
                io.stop();
            }
        });
    io.restart();
    io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace tamarackcove::test
