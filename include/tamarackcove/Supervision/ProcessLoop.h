#pragma once

#include "tamarackcove/Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace tamarackcove {

class Supervisor;

/// Hooks that runProcess() calls at the start and at the end of a process.
struct ProcessHooks
{
    /// Starts the children of the root supervisor; false ends the process with exit code 1.
    std::function<bool(Supervisor &root)> start;
    /// Runs after a signal or an escalation, before the children are stopped. Optional.
    std::function<boost::asio::awaitable<void>()> drain;
    /// Destroys the objects that start() created, while the io_context still exists. Optional.
    std::function<void()> release;
};

/// Runs one io_context on this thread until SIGTERM, SIGINT or the escalation of a child of the root supervisor.
/// Returns the exit code: 0 after a signal, 1 otherwise. Precondition: called once in a process, from its main thread.
int runProcess(const std::string &name, ProcessHooks hooks);

} // namespace tamarackcove
