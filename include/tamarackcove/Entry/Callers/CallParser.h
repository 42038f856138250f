#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Observe/TraceContext.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/Refusal.h"

namespace tamarackcove {

struct ServingConfiguration;

/// A parsed caller request: the call to admit and route, and the HTTP request to send to a target.
struct ParsedCall
{
    Call call;
    /// Does not contain the headers that only concern the hop from the caller to this entry.
    HttpRequest outgoing;
    TraceContext trace;
    /// The span id of the caller's `traceparent` header; empty if the caller sent no valid one.
    std::string parentSpanId;
};

/// Parses `POST /v1/completions` and `POST /v1/chat/completions`. A model name without a version resolves to the
/// current version, and the outgoing body names that version. Leaves Call::id empty. Thread safe.
[[nodiscard]] Result<ParsedCall, Refusal> parseModelCall(const HttpRequest &request,
                                                         const ServingConfiguration &configuration, TimePoint now);

/// Parses a request to `/services/<name>/<path>`. Leaves Call::id empty. Thread safe.
[[nodiscard]] Result<ParsedCall, Refusal> parseServiceCall(const HttpRequest &request,
                                                           const ServingConfiguration &configuration, TimePoint now);

} // namespace tamarackcove
