#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Control/ControlSettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The supervisor tree of one control host: the replica of the log, the administration API and the server for entries.
///
/// Signals and the process exit code are left to runControlProcess(), so that a test can run a node in its own process.
///
/// Thread safety: used on the thread of the executor.
class ControlNode
{
public:
    struct Hooks
    {
        /// Called on an unrecoverable failure. The process must then stop without acknowledging any further command.
        std::function<void(std::string_view reason, std::string_view detail)> onFatal;
    };

    ControlNode(boost::asio::any_io_executor executor, ControlSettings settings, Hooks hooks);
    /// Precondition: shutDown() has completed, or the executor no longer runs.
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Binds the ports and reads the data folder (blocking). The error is one line that names the settings key.
    [[nodiscard]] Result<void, std::string> open();
    /// Starts the tasks. Precondition: open() has succeeded.
    void start();
    /// Transfers leadership if this node leads, waits up to drain_timeout_ms for requests in progress, and stops the
    /// tasks.
    boost::asio::awaitable<void> shutDown();

    /// The bound endpoint of the administration API. Precondition: open() has succeeded.
    [[nodiscard]] Endpoint administrationEndpoint() const;
    /// The bound endpoint for the framed connections of entries. Precondition: open() has succeeded.
    [[nodiscard]] Endpoint entryEndpoint() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
