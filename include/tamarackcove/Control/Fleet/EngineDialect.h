#pragma once

#include "tamarackcove/Fleet/ServerOrder.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <functional>
#include <optional>

namespace tamarackcove {

/// How servers are spoken to when they are ordered or asked for their state.
struct EngineDialect
{
    std::function<HttpRequest(const ServerOrder &)> orderRequest;
    std::function<OrderOutcome(const ServerOrder &, const HttpResponse &)> orderOutcome;
    std::function<HttpRequest(const ServerIdentity &)> stateRequest;
    /// Nothing when the answer is not the state of that server.
    std::function<std::optional<ServerReport>(const HttpResponse &)> readReport;
};

} // namespace tamarackcove
