#include "RunThenStop.h"

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

namespace asio = boost::asio;
using namespace tamarackcove;

// Guards against a failed check that leaves the tasks of a fixture running, so that the test hangs.
TEST_CASE("an exception of the body stops the tasks of the fixture and is rethrown")
{
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    supervisor.start("endless", [&]() -> asio::awaitable<void> {
        Timer timer(io, TimePoint::max());
        co_await timer.async_wait(asio::use_awaitable);
    });
    const auto fail = []() -> asio::awaitable<void> {
        throw std::runtime_error("check failed");
        co_return;
    };
    CHECK_THROWS_WITH(test::runThenStop(io, fail, [&] { return supervisor.stop(); }), "check failed");
    CHECK(supervisor.childCount() == 0);
}

// Guards against a fixture that hangs or passes when it cannot stop its tasks.
TEST_CASE("an exception of stop ends the run although tasks are left, and is rethrown")
{
    asio::io_context io;
    Timer endless(io, TimePoint::max());
    endless.async_wait([](const boost::system::error_code &) {});
    const auto nothing = []() -> asio::awaitable<void> {
        co_return;
    };
    const auto fail = []() -> asio::awaitable<void> {
        throw std::runtime_error("cannot stop");
        co_return;
    };
    CHECK_THROWS_WITH(test::runThenStop(io, nothing, fail), "cannot stop");
}
