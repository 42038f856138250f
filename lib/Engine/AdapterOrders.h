#pragma once

#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

namespace tamarackcove {

struct EngineState;

/// Serves an order to load an adapter: fetches it from the weight store and replies when it is resident.
/// Precondition: state and request outlive the coroutine.
boost::asio::awaitable<HttpResponse> loadAdapter(EngineState &state, const HttpRequest &request);

/// Serves an order to unload an adapter. Requests that run on it are aborted.
[[nodiscard]] HttpResponse unloadAdapter(EngineState &state, const HttpRequest &request);

} // namespace tamarackcove
