#include "tamarackcove/Entry/Callers/ErrorBody.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackcove {

static int statusOf(RefusalCode code)
{
    switch (code) {
    case RefusalCode::NotRun:
    case RefusalCode::Draining:
        return 503;
    case RefusalCode::Overloaded:
        return 429;
    case RefusalCode::OutcomeUnknown:
        return 502;
    case RefusalCode::UnknownAdapter:
    case RefusalCode::UnknownService:
    case RefusalCode::UnknownPath:
        return 404;
    case RefusalCode::Quarantined:
        return 422;
    case RefusalCode::DuplicateCall:
    case RefusalCode::CallInDoubt:
        return 409;
    case RefusalCode::InvalidRequest:
        return 400;
    }
    return 500;
}

static std::string errorJson(const Refusal &refusal)
{
    const int status = statusOf(refusal.code);
    const char *type = status >= 500 ? "server_error" : status == 429 ? "overloaded_error" : "invalid_request_error";
    const nlohmann::json error
        = {{"message", refusal.message}, {"type", type}, {"code", toString(refusal.code)}, {"param", nullptr}};
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse errorResponse(const Refusal &refusal)
{
    auto response = jsonResponse(statusOf(refusal.code), errorJson(refusal));
    if (refusal.retryAfter > milliseconds(0)) {
        const auto wait = std::chrono::ceil<seconds>(refusal.retryAfter);
        response.headers.set("retry-after", std::to_string(wait.count()));
    }
    return response;
}

std::string errorEvent(const Refusal &refusal)
{
    return "data: " + errorJson(refusal) + "\n\n";
}

} // namespace tamarackcove
