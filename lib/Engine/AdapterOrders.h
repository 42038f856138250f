#pragma once

#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

namespace tamarackcove {

struct EngineState;

/// Handles an order to load an adapter: fetches it from the weight store and replies when the load has ended.
/// Precondition: state and request outlive the coroutine.
boost::asio::awaitable<HttpResponse> loadAdapter(EngineState &state, const HttpRequest &request);

/// Handles an order to unload an adapter. Requests that are running on the adapter are aborted.
[[nodiscard]] HttpResponse unloadAdapter(EngineState &state, const HttpRequest &request);

} // namespace tamarackcove
