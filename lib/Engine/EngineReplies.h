#pragma once

#include "tamarackcove/Http/HttpResponse.h"

#include <string>
#include <string_view>

namespace tamarackcove {

struct EngineJob;
struct EngineState;

/// An error response in the format of the OpenAI API.
[[nodiscard]] HttpResponse errorReply(int status, std::string_view code, std::string_view message);
/// The non-streaming response to a completed job.
[[nodiscard]] HttpResponse completionReply(const EngineJob &job);
/// The server-sent event for the token at this offset.
[[nodiscard]] std::string tokenEvent(const EngineJob &job, std::size_t offset);
/// The response to `GET /v1/state`.
[[nodiscard]] HttpResponse stateReply(const EngineState &state);
/// The response to `GET /executions`.
[[nodiscard]] HttpResponse executionsReply(const EngineState &state);

} // namespace tamarackcove
