#pragma once

#include "tamarackcove/Fleet/CrashSuspect.h"

#include <vector>

namespace tamarackcove {

struct CallerRequest;
struct HttpRequest;

/// What may make servers crash in a request: the parts of its prompt, and the request itself as each kind of
/// SuspectKind. The suspects are the same for each request with the same method, host, target, caller, and what the
/// kind says, at any entry, whatever its other headers are. A kind that would stand for the same as the one before, as
/// in a request without adapter and prompt, is left out. Thread safe.
[[nodiscard]] std::vector<CrashSuspect> crashSuspectsOf(const HttpRequest &request, const CallerRequest &caller);

} // namespace tamarackcove
