#pragma once

#include "tamarackcove/Base/Time.h"

#include <string>
#include <string_view>

namespace tamarackcove {

enum class RefusalCode {
    /// The request did not run.
    NotRun,
    /// The request did not run because too many requests are waiting at this entry.
    Overloaded,
    /// The request did not run because this entry is shutting down.
    Draining,
    /// The request may have run, at most once.
    OutcomeUnknown,
    /// A call with this idempotency key was dispatched before and its outcome was not recorded.
    CallInDoubt,
    UnknownAdapter,
    UnknownService,
    UnknownPath,
    /// The request is quarantined since it crashed targets before.
    Quarantined,
    /// The idempotency key was used before for a different request.
    DuplicateCall,
    InvalidRequest,
};

/// Why a caller gets an error instead of the response of a target.
struct Refusal
{
    RefusalCode code = RefusalCode::NotRun;
    std::string message;
    /// Time after which the caller should retry; zero if a retry is not expected to succeed.
    milliseconds retryAfter{0};
};

/// Returns the code that stands in the error body.
[[nodiscard]] std::string_view toString(RefusalCode code);

/// Whether the code tells the caller that the request did not run.
[[nodiscard]] bool guaranteesNotRun(RefusalCode code);

} // namespace tamarackcove
