#include "tamarackcove/Control/ControlProcess.h"

#include "tamarackcove/Control/ControlNode.h"
#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr int ExitFailure = 1;

static asio::awaitable<void> stopOnSignal(asio::signal_set &signals, ControlNode &node)
{
    const auto [error, signal] = co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    LogLine(LogLevel::Info, "stopping").add("signal", signal);
    co_await node.shutDown();
    LogLine(LogLevel::Info, "stopped");
}

int runControlProcess(const ControlSettings &settings)
{
    asio::io_context io(1);
    int exitCode = 0;
    ControlNode node(io.get_executor(), settings, {.onFatal = [&](std::string_view, std::string_view) {
                         exitCode = ExitFailure;
                         io.stop();
                     }});
    if (const auto opened = node.open(); opened.has_error()) {
        LogLine(LogLevel::Critical, "start_failed").add("reason", opened.error());
        return ExitFailure;
    }
    node.start();
    asio::signal_set signals(io, SIGTERM, SIGINT);
    asio::co_spawn(io, stopOnSignal(signals, node), [&io](const std::exception_ptr &) { io.stop(); });
    io.run();
    return exitCode;
}

} // namespace tamarackcove
