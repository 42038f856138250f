#pragma once

#include "tamarackcove/Http/HttpResponse.h"

#include <string>
#include <string_view>

namespace tamarackcove {

struct EngineJob;
struct EngineState;

/// An error body in the OpenAI form.
[[nodiscard]] HttpResponse errorReply(int status, std::string_view code, std::string_view message);
/// The whole response of a finished job.
[[nodiscard]] HttpResponse completionReply(const EngineJob &job);
/// One server-sent event with the token at this offset.
[[nodiscard]] std::string tokenEvent(const EngineJob &job, std::size_t offset);
/// The body of `GET /v1/state`.
[[nodiscard]] HttpResponse stateReply(const EngineState &state);
/// The body of `GET /executions`.
[[nodiscard]] HttpResponse executionsReply(const EngineState &state);

} // namespace tamarackcove
