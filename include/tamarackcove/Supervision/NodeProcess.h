#pragma once

#include "tamarackcove/Base/Result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace tamarackcove {

/// Hooks that runNode() calls; the node owns its supervisor tree.
struct NodeHooks
{
    /// Binds ports and reads files, before start(); the error is one line for the operator.
    std::function<Result<void, std::string>()> open;
    std::function<void()> start;
    /// Called at SIGHUP, since the settings file may have changed.
    std::function<void()> reload;
    /// Called at SIGTERM and SIGINT; runNode() returns when this coroutine has finished.
    std::function<boost::asio::awaitable<void>()> shutDown;
};

/// Runs a node on this thread until SIGTERM or SIGINT, or until the io_context is stopped. Returns 1 when
/// open() failed, 0 otherwise. Precondition: called once in a process, from its main thread.
int runNode(boost::asio::io_context &io, const NodeHooks &hooks);

} // namespace tamarackcove
