#pragma once

#include "tamarackcove/Control/Fleet/EngineDialect.h"
#include "tamarackcove/Control/Fleet/FleetControl.h"
#include "tamarackcove/Control/Fleet/FleetControlSettings.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Storage/FileHooks.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace tamarackcove {

/// The supervisor tree of one control host of a deployment whose servers announce themselves: the replica of the log,
/// the calls of operators and servers, the connections of entries, and the orders to servers while this host is leader
/// of the control hosts.
///
/// Thread safety: used on the thread of the executor.
class FleetNode
{
public:
    struct Hooks
    {
        FleetControl::ReadConfiguration readConfiguration;
        EngineDialect dialect;
        /// Makes the HTTP handler for the calls of operators and servers.
        std::function<HttpServer::Handler(FleetControl &control)> frontEnd;
        /// Called on a failure from which the node cannot recover; the process must then stop without acknowledging
        /// anything more.
        std::function<void(std::string_view what, std::string_view detail)> onFatal;
        /// How the files of the data folder are written; tests inject slow and failing disks.
        FileHooks files = FileHooks::system();
    };

    FleetNode(boost::asio::any_io_executor executor, FleetControlSettings settings, Hooks hooks);
    /// Precondition: shutDown() has completed, or the executor no longer runs.
    ~FleetNode();
    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    /// Binds the ports and reads the data folder (blocking). The error is one line for the operator.
    [[nodiscard]] Result<void, std::string> open();
    /// Starts the tasks. Precondition: open() has succeeded.
    void start();
    /// Hands over leadership, finishes the calls in progress and ends the tasks.
    boost::asio::awaitable<void> shutDown();

    /// The bound port for calls of operators and servers. Precondition: open() has succeeded.
    [[nodiscard]] std::uint16_t apiPort() const;
    /// The bound port for entries. Precondition: open() has succeeded.
    [[nodiscard]] std::uint16_t entryPort() const;
    /// Precondition: the settings name an address for metrics.
    [[nodiscard]] std::uint16_t metricsPort() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
