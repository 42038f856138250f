#include "tamarackcove/Entry/Admin/AdminApi.h"

#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/Metrics.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

AdminApi::AdminApi(Metrics &metrics, Hooks hooks)
    : m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

asio::awaitable<void> AdminApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    HttpResponse response;
    const auto path = request.path();
    if (path == "/metrics") {
        m_hooks.collect(m_metrics);
        response.headers.set("content-type", "text/plain; version=0.0.4");
        response.body = m_metrics.exposition();
    } else if (path == "/healthz") {
        response = jsonResponse(200, R"({"status":"alive"})");
    } else if (path == "/readyz") {
        const auto reason = m_hooks.notReadyReason();
        const nlohmann::json body = {{"status", reason.empty() ? "ready" : "not_ready"}, {"reason", reason}};
        response = jsonResponse(reason.empty() ? 200 : 503, body.dump());
    } else {
        response = jsonResponse(
            404,
            R"({"error":{"message":"this port serves /metrics, /healthz and /readyz","type":"invalid_request_error","code":"unknown_path","param":null}})");
    }
    (void)co_await responder.send(std::move(response));
}

} // namespace tamarackcove
