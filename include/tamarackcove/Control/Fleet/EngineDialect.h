#pragma once

#include "tamarackcove/Fleet/ServerOrder.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <functional>
#include <optional>

namespace tamarackcove {

/// Encodes orders and state queries as HTTP requests to servers, and decodes the answers.
struct EngineDialect
{
    std::function<HttpRequest(const ServerOrder &)> orderRequest;
    /// Reads the outcome of the order from the answer of the server.
    std::function<OrderOutcome(const ServerOrder &, const HttpResponse &)> orderOutcome;
    std::function<HttpRequest(const ServerIdentity &)> stateRequest;
    /// Reads the state of a server from its answer to stateRequest; nothing if the answer does not contain one.
    std::function<std::optional<ServerReport>(const HttpResponse &)> readReport;
};

} // namespace tamarackcove
