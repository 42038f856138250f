#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Observe/TraceContext.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/Refusal.h"

namespace tamarackcove {

struct ServingConfiguration;

/// A caller's request after reading: what the decisions need, and what a target gets.
struct ParsedCall
{
    Call call;
    /// Without the headers of one hop.
    HttpRequest outgoing;
    TraceContext trace;
    /// The caller's span; empty when it sent none.
    std::string parentSpanId;
};

/// Reads `POST /v1/completions` and `POST /v1/chat/completions`. A model without a version gets the current one, and
/// the outgoing body names it. The request id is left empty. Thread safe.
[[nodiscard]] Result<ParsedCall, Refusal> parseModelCall(const HttpRequest &request,
                                                         const ServingConfiguration &configuration, TimePoint now);

/// Reads a call to `/services/<name>/<path>`. Thread safe.
[[nodiscard]] Result<ParsedCall, Refusal> parseServiceCall(const HttpRequest &request,
                                                           const ServingConfiguration &configuration, TimePoint now);

} // namespace tamarackcove
