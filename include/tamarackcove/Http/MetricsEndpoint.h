#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>

namespace tamarackcove {

class Metrics;

/// Serves the metrics of a process at `/metrics`, on a separate address. Without an address nothing is served.
///
/// Thread safety: used on the thread of the executor.
class MetricsEndpoint
{
public:
    /// `setGauges` is called before each exposition to update the gauges, which are computed only on demand.
    /// Precondition: the metrics outlive this object.
    MetricsEndpoint(const boost::asio::any_io_executor &executor, Metrics &metrics,
                    std::function<void(Metrics &)> setGauges);
    MetricsEndpoint(const MetricsEndpoint &) = delete;
    MetricsEndpoint &operator=(const MetricsEndpoint &) = delete;

    /// Binds the address, if there is one.
    [[nodiscard]] Result<void, HttpError> listen(const std::optional<Endpoint> &endpoint);
    /// Starts accepting connections in a task of the supervisor, if an address was bound.
    /// Precondition: the supervisor is stopped before this object is destroyed.
    void start(Supervisor &tasks);
    /// Stops the tasks of the open connections.
    boost::asio::awaitable<void> stop();

    /// The bound port. Precondition: listen() has succeeded with an address.
    [[nodiscard]] std::uint16_t port() const;

private:
    boost::asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder);

    Supervisor m_connections;
    Metrics &m_metrics;
    std::function<void(Metrics &)> m_setGauges;
    HttpServer m_server;
    bool m_listening = false;
};

} // namespace tamarackcove
