#pragma once

#include "tamarackcove/Base/StringId.h"

#include <string_view>

namespace tamarackcove {

/// What may make each server crash that begins to run a request with it: a part of its prompt that many requests may
/// share, such as a system prompt, or the request itself. Equal parts have equal ids, and so have equal requests.
using CrashSuspect = StringId<struct CrashSuspectTag>;

/// Begins the ids of requests. The ids of parts have no colon.
inline constexpr std::string_view RequestSuspectPrefix = "request:";

/// Whether the suspect is a request.
[[nodiscard]] inline bool isRequest(const CrashSuspect &suspect)
{
    return suspect.value().starts_with(RequestSuspectPrefix);
}

} // namespace tamarackcove
