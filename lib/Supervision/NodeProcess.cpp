#include "tamarackcove/Supervision/NodeProcess.h"

#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr int ExitFailure = 1;

static asio::awaitable<void> handleSignals(asio::signal_set &signals, const NodeHooks &hooks)
{
    for (;;) {
        const auto [error, signal] = co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
        if (signal != SIGHUP) {
            LogLine(LogLevel::Info, "stopping").add("signal", signal);
            break;
        }
        LogLine(LogLevel::Info, "reloading").add("signal", signal);
        hooks.reload();
    }
    co_await hooks.shutDown();
    LogLine(LogLevel::Info, "stopped");
}

int runNode(asio::io_context &io, const NodeHooks &hooks)
{
    // Registered before open(), because SIGHUP ends a process that does not handle it.
    asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    if (const auto opened = hooks.open(); opened.has_error()) {
        LogLine(LogLevel::Critical, "start_failed").add("reason", opened.error());
        return ExitFailure;
    }
    hooks.start();
    asio::co_spawn(io, handleSignals(signals, hooks), [&io](const std::exception_ptr &) { io.stop(); });
    io.run();
    return 0;
}

} // namespace tamarackcove
