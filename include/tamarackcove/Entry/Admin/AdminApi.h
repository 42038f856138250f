#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace tamarackcove {

class HttpResponder;
class Metrics;
struct HttpRequest;

/// `GET /metrics`, `/healthz` and `/readyz` on the administration port of an entry.
///
/// Thread safety: used on the thread of the HTTP server that calls handle().
class AdminApi
{
public:
    struct Hooks
    {
        /// Sets the gauges of the entry's components; called before the metrics are written.
        std::function<void(Metrics &metrics)> collect;
        /// The reason why this entry cannot serve requests now; empty when it can.
        std::function<std::string()> notReadyReason;
    };

    /// Precondition: metrics outlives the object.
    AdminApi(Metrics &metrics, Hooks hooks);

    /// Answers one request; the status is 404 when the path is none of the three.
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    Metrics &m_metrics;
    Hooks m_hooks;
};

} // namespace tamarackcove
