#pragma once

#include "tamarackcove/Http/HttpResponse.h"
#include "tamarackcove/Requests/Refusal.h"

#include <string>

namespace tamarackcove {

/// The response to a refused request: `{"error":{"message","type","code","param"}}`, with `retry-after` when another
/// try makes sense. Thread safe.
[[nodiscard]] HttpResponse errorResponse(const Refusal &refusal);

/// The same body as a server-sent event, for a stream that has begun. Thread safe.
[[nodiscard]] std::string errorEvent(const Refusal &refusal);

} // namespace tamarackcove
