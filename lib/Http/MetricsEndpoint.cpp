#include "tamarackcove/Http/MetricsEndpoint.h"

#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpResponse.h"
#include "tamarackcove/Http/MemoryBudget.h"
#include "tamarackcove/Observe/Metrics.h"

namespace asio = boost::asio;

namespace tamarackcove {

MetricsEndpoint::MetricsEndpoint(const asio::any_io_executor &executor, Metrics &metrics,
                                 std::function<void(Metrics &)> setGauges)
    : m_connections(executor, "metrics")
    , m_metrics(metrics)
    , m_setGauges(std::move(setGauges))
    , m_server(
          m_connections, ProbeLimits,
          [this](const HttpRequest &request, HttpResponder &responder) { return answer(request, responder); },
          std::make_shared<MemoryBudget>(MemoryBudget::limitsForProbes()))
{
}

Result<void, HttpError> MetricsEndpoint::listen(const std::optional<Endpoint> &endpoint)
{
    if (!endpoint) {
        return ok();
    }
    BOOST_OUTCOME_TRY(m_server.listen(*endpoint));
    m_listening = true;
    return ok();
}

void MetricsEndpoint::start(Supervisor &tasks)
{
    if (m_listening) {
        tasks.start("metrics", [this] { return m_server.run(); });
    }
}

asio::awaitable<void> MetricsEndpoint::stop()
{
    return m_connections.stop();
}

std::uint16_t MetricsEndpoint::port() const
{
    return m_server.port();
}

asio::awaitable<void> MetricsEndpoint::answer(const HttpRequest &request, HttpResponder &responder)
{
    HttpResponse response;
    if (request.path() == "/metrics") {
        m_setGauges(m_metrics);
        response.headers.set("content-type", "text/plain; version=0.0.4");
        response.body = m_metrics.exposition();
    } else {
        response.status = 404;
    }
    (void)co_await responder.send(std::move(response));
}

} // namespace tamarackcove
