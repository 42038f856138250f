#include "tamarackcove/Gateway/RequestSuspects.h"

#include "tamarackcove/Base/Hash.h"
#include "tamarackcove/Gateway/CallerDialect.h"
#include "tamarackcove/Http/HttpRequest.h"

#include <cstdint>
#include <fmt/format.h>
#include <string_view>

namespace tamarackcove {

/// Adds a text to a hash. The seed is the hash of what comes before, so that the borders between the texts count.
static std::uint64_t extend(std::uint64_t hash, std::string_view text)
{
    return hash64(text, hash);
}

static CrashSuspect requestSuspect(std::string_view prefix, std::uint64_t hash)
{
    return CrashSuspect(fmt::format("{}{:016x}", prefix, hash));
}

std::vector<CrashSuspect> crashSuspectsOf(const HttpRequest &request, const CallerRequest &caller)
{
    std::uint64_t path = extend(0, request.method);
    path = extend(path, request.headers.find("host").value_or(""));
    path = extend(path, request.target);
    path = extend(path, caller.callerId);
    const auto body = extend(path, request.body);
    auto whole = extend(body, caller.adapter ? caller.adapter->adapter : std::string_view());
    for (const auto &part : caller.promptParts) {
        whole = extend(whole, part.value());
    }
    auto suspects = caller.promptParts;
    suspects.push_back(requestSuspect(RequestSuspectPrefix, whole));
    if (caller.adapter || !caller.promptParts.empty()) {
        suspects.push_back(requestSuspect(RequestBodySuspectPrefix, body));
    }
    if (!request.body.empty()) {
        suspects.push_back(requestSuspect(RequestPathSuspectPrefix, path));
    }
    return suspects;
}

} // namespace tamarackcove
