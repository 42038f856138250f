#pragma once

#include "tamarackcove/Base/StringId.h"

#include <string_view>

namespace tamarackcove {

/// What may make each server crash that begins to run a request with it: a part of its prompt that many requests may
/// share, such as a system prompt, or what identifies the request itself. Equal parts have equal ids, and so have equal
/// requests.
using CrashSuspect = StringId<struct CrashSuspectTag>;

/// What a suspect stands for. The kinds of requests are ordered: each one stands for more requests than the one before.
enum class SuspectKind {
    /// A part of prompts.
    Part,
    /// Requests that are equal in all that servers run: path, caller, adapter, prompt and body.
    Request,
    /// Requests that are equal in path, caller and body.
    RequestBody,
    /// Requests that are equal in path and caller.
    RequestPath,
};

/// How far a server has got with the answer to a request.
enum class AnswerProgress {
    /// The server has begun to run the request.
    Begun,
    /// The server has run the request to its end.
    Complete,
};

/// Begin the ids of the kinds of requests. The ids of parts have no colon.
inline constexpr std::string_view RequestSuspectPrefix = "request:";
inline constexpr std::string_view RequestBodySuspectPrefix = "request-body:";
inline constexpr std::string_view RequestPathSuspectPrefix = "request-path:";

/// Thread safe.
[[nodiscard]] inline SuspectKind kindOf(const CrashSuspect &suspect)
{
    const std::string_view id = suspect.value();
    return id.starts_with(RequestSuspectPrefix)    ? SuspectKind::Request
        : id.starts_with(RequestBodySuspectPrefix) ? SuspectKind::RequestBody
        : id.starts_with(RequestPathSuspectPrefix) ? SuspectKind::RequestPath
                                                   : SuspectKind::Part;
}

/// Whether the suspect stands for requests, and not for a part of prompts. Thread safe.
[[nodiscard]] inline bool isRequest(const CrashSuspect &suspect)
{
    return kindOf(suspect) != SuspectKind::Part;
}

} // namespace tamarackcove
