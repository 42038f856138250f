#include "tamarackcove/Requests/Refusal.h"

namespace tamarackcove {

std::string_view toString(RefusalCode code)
{
    switch (code) {
    case RefusalCode::NotRun:
        return "not_run";
    case RefusalCode::Overloaded:
        return "overloaded";
    case RefusalCode::Draining:
        return "draining";
    case RefusalCode::OutcomeUnknown:
    case RefusalCode::CallInDoubt:
        return "outcome_unknown";
    case RefusalCode::UnknownAdapter:
        return "unknown_adapter";
    case RefusalCode::UnknownService:
        return "unknown_service";
    case RefusalCode::UnknownPath:
        return "unknown_path";
    case RefusalCode::Quarantined:
        return "quarantined";
    case RefusalCode::DuplicateCall:
        return "duplicate_call";
    case RefusalCode::InvalidRequest:
        return "invalid_request";
    }
    return "internal";
}

bool guaranteesNotRun(RefusalCode code)
{
    return code != RefusalCode::OutcomeUnknown && code != RefusalCode::CallInDoubt && code != RefusalCode::Quarantined
        && code != RefusalCode::DuplicateCall;
}

} // namespace tamarackcove
