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

/// Serves the figures of a process as text at `/metrics`, on an address of its own that can be left out.
///
/// Thread safety: used on the thread of the executor.
class MetricsEndpoint
{
public:
    /// The hook sets the gauges, which are read only when they are asked for.
    /// Precondition: the metrics outlive this object.
    MetricsEndpoint(const boost::asio::any_io_executor &executor, Metrics &metrics,
                    std::function<void(Metrics &)> setGauges);
    MetricsEndpoint(const MetricsEndpoint &) = delete;
    MetricsEndpoint &operator=(const MetricsEndpoint &) = delete;

    /// Binds the address; without one there is nothing to serve.
    [[nodiscard]] Result<void, HttpError> listen(const std::optional<Endpoint> &endpoint);
    /// Starts accepting under a supervisor, if an address was bound. Precondition: the supervisor is stopped before
    /// this object is destroyed.
    void start(Supervisor &tasks);
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
