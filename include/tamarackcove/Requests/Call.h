#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace tamarackcove {

/// One caller request as admission, routing and dispatch use it; independent of the front end that received it.
struct Call
{
    RequestId id;
    /// The plain service, or the service that the adapter belongs to. Admission shares apply to services.
    ServiceName service;
    /// Set for a request to an engine.
    std::optional<AdapterRef> adapter;
    BaseModel baseModel;
    Priority priority = Priority::Normal;
    /// When this entry received the request.
    TimePoint received;
    TimePoint deadline = TimePoint::max();
    /// Whether the call may be dispatched again after an attempt whose outcome is unknown.
    bool repeatable = true;
    /// Empty when the caller gave none.
    std::string idempotencyKey;
    bool streaming = false;
    /// Whether another entry forwarded the call to this one. A forwarded call is not forwarded again.
    bool forwarded = false;
    /// Share of the entry's places that the service is entitled to, in percent; see Admission::Offer.
    int sharePercent = 50;
    /// Hash of the adapter and the body, equal for all callers and retries; see CrashLedger.
    std::uint64_t fingerprint = 0;
    /// Hash of the whole request, recorded with the reservation of its idempotency key.
    std::uint64_t digest = 0;
    /// Time without data from the target after which its response counts as lost.
    milliseconds responseTimeout = seconds(60);
};

} // namespace tamarackcove
