#pragma once

#include "tamarackcove/Gateway/CallerDialect.h"
#include "tamarackcove/Gateway/GatewaySettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>

namespace tamarackcove {

/// The supervisor tree of one entry of a deployment whose servers announce themselves: callers, connections to servers,
/// and the link with the control host that leads.
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
    /// Control hosts to ask when the one that leads is lost.
    void setSeeds(std::vector<std::string> seeds);
    /// Says that it is not ready, goes on until the balancer has noticed, and finishes the requests in progress.
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
