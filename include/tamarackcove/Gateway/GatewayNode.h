#pragma once

#include "tamarackcove/Gateway/CallerDialect.h"
#include "tamarackcove/Gateway/GatewaySettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>

namespace tamarackcove {

/// The supervisor tree of one entry of a deployment whose servers announce themselves: connections of callers,
/// connections to servers, and the links to the control hosts.
///
/// Thread safety: used on the thread of the executor.
class GatewayNode
{
public:
    GatewayNode(boost::asio::any_io_executor executor, GatewaySettings settings, CallerDialect dialect);
    /// Precondition: shutDown() has completed, or the executor no longer runs.
    ~GatewayNode();
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    /// Binds the ports. The error is one line for the operator.
    [[nodiscard]] Result<void, std::string> open();
    /// Starts the tasks. Precondition: open() has succeeded.
    void start();
    /// Replaces the seeds in the settings and connects to the new ones. Hosts that are connected already are kept.
    void setSeeds(std::vector<std::string> seeds);
    /// Reports not ready, keeps accepting connections until the balancer has had time to notice this by its probes,
    /// then finishes the requests in progress and ends the tasks. Meanwhile it passes on only requests whose deadline
    /// is before the end of the grace period; those that are still in progress at that end are answered as timed out.
    boost::asio::awaitable<void> shutDown();

    /// The bound ports. Precondition: open() has succeeded.
    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t readyPort() const;
    /// Precondition: the settings name an address for metrics.
    [[nodiscard]] std::uint16_t metricsPort() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
