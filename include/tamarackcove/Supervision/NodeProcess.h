#pragma once

#include "tamarackcove/Base/Result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace tamarackcove {

/// What a process does with the supervisor tree that it runs.
struct NodeHooks
{
    /// Binds ports and reads files; the error is one line for the operator.
    std::function<Result<void, std::string>()> open;
    std::function<void()> start;
    /// Runs at SIGHUP: the settings file may have changed.
    std::function<void()> reload;
    /// Runs at SIGTERM and SIGINT.
    std::function<boost::asio::awaitable<void>()> shutDown;
};

/// Runs a node on this thread until SIGTERM or SIGINT, or until the io_context is stopped. Returns 0 when the node was
/// started, 1 otherwise. Call once per process, on its main thread.
int runNode(boost::asio::io_context &io, const NodeHooks &hooks);

} // namespace tamarackcove
