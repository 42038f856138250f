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
    std::function<OrderOutcome(const ServerOrder &, const HttpResponse &)> orderOutcome;
    std::function<HttpRequest(const ServerIdentity &)> stateRequest;
    /// Absent if the answer does not contain the state of a server.
    std::function<std::optional<ServerReport>(const HttpResponse &)> readReport;
};

} // namespace tamarackcove
