#pragma once

#include "tamarackcove/Base/Time.h"

#include <string>
#include <string_view>

namespace tamarackcove {

enum class RefusalCode {
    /// Certainly did not run.
    NotRun,
    /// Certainly did not run, because too much is waiting here.
    Overloaded,
    /// Certainly did not run, because this entry shuts down.
    Draining,
    /// May have run, once.
    OutcomeUnknown,
    /// A call with this idempotency key was dispatched before and its outcome was not recorded.
    CallInDoubt,
    UnknownAdapter,
    UnknownService,
    UnknownPath,
    /// The request crashed targets before.
    Quarantined,
    /// The idempotency key was used with another request.
    DuplicateCall,
    InvalidRequest,
};

/// Why a request has no response of a target.
struct Refusal
{
    RefusalCode code = RefusalCode::NotRun;
    std::string message;
    /// When another try makes sense; zero when it does not.
    milliseconds retryAfter{0};
};

/// The code that callers see in an error body.
[[nodiscard]] std::string_view toString(RefusalCode code);

/// Whether the code promises that the request did not run.
[[nodiscard]] bool promisesNotRun(RefusalCode code);

} // namespace tamarackcove
