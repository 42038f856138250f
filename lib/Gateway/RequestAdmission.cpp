#include "RequestExchange.h"
#include "tamarackcove/Observe/Metrics.h"

#include <boost/asio/awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

bool RequestRelay::identifyWorkspace(Exchange &exchange)
{
    const auto &workspaces = exchange.routes->workspaces();
    exchange.priority = exchange.route->priority;
    if (workspaces.empty() || exchange.route->isPublic) {
        return true;
    }
    exchange.workspace = workspaces.find(exchange.caller.workspaceKey);
    if (exchange.workspace == nullptr) {
        exchange.failureDetail = exchange.caller.workspaceKey.empty() ? "the request carries no key"
                                                                      : "no workspace holds the key of the request";
        return false;
    }
    exchange.priority = exchange.workspace->priority.value_or(exchange.route->priority);
    return true;
}

asio::awaitable<bool> RequestRelay::admit(Exchange &exchange)
{
    if (!identifyWorkspace(exchange)) {
        co_await refuse(exchange, EntryRefusal::UnknownKey, milliseconds(0));
        co_return false;
    }
    if (exchange.workspace != nullptr) {
        m_parts.metrics.count(Metrics::labelled("workspace_requests_total", {{"workspace", exchange.workspaceName()}}));
    }
    co_return true;
}

} // namespace tamarackcove
