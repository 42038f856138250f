#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <stdexcept>
#include <vector>

namespace asio = boost::asio;
using namespace tamarackcove;

static asio::awaitable<void> waitForever()
{
    Timer timer(co_await asio::this_coro::executor, TimePoint::max());
    co_await timer.async_wait(asio::use_awaitable);
}

TEST_CASE("a child that keeps failing is restarted maxRestarts times, then escalated")
{
    asio::io_context io;
    int runs = 0;
    std::vector<std::string> escalated;
    Supervisor supervisor(io.get_executor(), "test", {.onEscalate = [&](std::string_view child) {
                              escalated.emplace_back(child);
                          }});
    supervisor.start(
        "failing",
        [&]() -> asio::awaitable<void> {
            ++runs;
            throw std::runtime_error("always fails");
            co_return;
        },
        {.restart = Restart::Always, .maxRestarts = 3, .firstBackoff = milliseconds(1), .maxBackoff = milliseconds(2)});
    io.run();
    CHECK(runs == 4);
    CHECK(escalated == std::vector<std::string>{"failing"});
    CHECK(supervisor.childCount() == 0);
}

TEST_CASE("children stop in reverse order of their start")
{
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    std::vector<int> ended;
    struct Recorder
    {
        std::vector<int> &ended;
        int number;
        ~Recorder()
        {
            ended.push_back(number);
        }
    };
    for (int number = 1; number <= 3; ++number) {
        supervisor.start("child-" + std::to_string(number), [&ended, number]() -> asio::awaitable<void> {
            const Recorder recorder{ended, number};
            co_await waitForever();
        });
    }
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            Timer timer(io, milliseconds(5));
            co_await timer.async_wait(asio::use_awaitable);
            co_await supervisor.stop();
        },
        asio::detached);
    io.run();
    CHECK(ended == std::vector<int>{3, 2, 1});
}
