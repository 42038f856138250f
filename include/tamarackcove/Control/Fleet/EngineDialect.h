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
    /// Whether the answer states that the server is about to stop. The answer of another server with the address does
    /// not count.
    std::function<bool(const HttpResponse &)> saysLeaving;
    /// For how long the server wants no further requests; nothing if the answer does not say.
    std::function<std::optional<milliseconds>(const HttpResponse &)> retryAfter;
};

} // namespace tamarackcove
