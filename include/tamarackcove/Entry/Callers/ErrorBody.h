#pragma once

#include "tamarackcove/Http/HttpResponse.h"
#include "tamarackcove/Requests/Refusal.h"

#include <string>

namespace tamarackcove {

/// The response to a refused request: `{"error":{"message","type","code","param"}}`, with a `retry-after` header if
/// Refusal::retryAfter is not zero. Thread safe.
[[nodiscard]] HttpResponse errorResponse(const Refusal &refusal);

/// The same error body as a server-sent event, for a stream that was already started. Thread safe.
[[nodiscard]] std::string errorEvent(const Refusal &refusal);

} // namespace tamarackcove
