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

/// The supervisor tree of one control host, without the process around it: the replica of the log, the operators and
/// the watching entries.
///
/// Thread safety: used on the thread of the executor.
class ControlNode
{
public:
    struct Hooks
    {
        /// Called when the node cannot go on; the process must then stop without acknowledging anything more.
        std::function<void(std::string_view what, std::string_view detail)> onFatal;
    };

    ControlNode(boost::asio::any_io_executor executor, ControlSettings settings, Hooks hooks);
    /// Precondition: shutDown() has completed, or the executor no longer runs.
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Binds the ports and reads the data folder (blocking). The error is one line for the operator.
    [[nodiscard]] Result<void, std::string> open();
    /// Starts the tasks. Precondition: open() has succeeded.
    void start();
    /// Hands over leadership, finishes the answers in progress and ends the tasks.
    boost::asio::awaitable<void> shutDown();

    /// The bound endpoints. Precondition: open() has succeeded.
    [[nodiscard]] Endpoint administration() const;
    [[nodiscard]] Endpoint entries() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
