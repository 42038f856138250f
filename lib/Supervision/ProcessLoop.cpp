#include "tamarackcove/Supervision/ProcessLoop.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace asio = boost::asio;

namespace tamarackcove {

static asio::awaitable<void> superviseUntilSignal(asio::io_context &io, Supervisor &root, asio::signal_set &signals,
                                                  const ProcessHooks &hooks)
{
    auto [error, signal] = co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    LogLine(LogLevel::Info, "stopping").add("signal", signal);
    if (hooks.drain) {
        co_await hooks.drain();
    }
    co_await root.stop();
    io.stop();
}

int runProcess(const std::string &name, ProcessHooks hooks)
{
    asio::io_context io(1);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    bool escalated = false;
    Supervisor::Hooks rootHooks;
    rootHooks.onEscalate = [&escalated, &signals](std::string_view) {
        escalated = true;
        signals.cancel();
    };
    Supervisor root(io.get_executor(), name, rootHooks);
    const bool started = hooks.start(root);
    if (!started) {
        asio::co_spawn(io, root.stop(), [&io](const std::exception_ptr &) { io.stop(); });
        io.run();
    }
    if (started) {
        asio::co_spawn(io, superviseUntilSignal(io, root, signals, hooks), asio::detached);
        io.run();
    }
    if (hooks.release) {
        hooks.release();
    }
    LogLine(LogLevel::Info, "stopped").add("failed", escalated || !started ? "true" : "false");
    return escalated || !started ? 1 : 0;
}

} // namespace tamarackcove
