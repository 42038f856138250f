#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace tamarackcove {

/// One caller request, as the decisions see it; independent of the front end that received it.
struct Call
{
    RequestId id;
    /// The plain service, or the service that the adapter belongs to; admission shares are counted by it.
    ServiceName service;
    /// Set for a request to an engine.
    std::optional<AdapterRef> adapter;
    BaseModel baseModel;
    Priority priority = Priority::Normal;
    TimePoint received;
    TimePoint deadline = TimePoint::max();
    /// Whether the call may be sent again after its outcome was lost.
    bool repeatable = true;
    /// Empty when the caller gave none.
    std::string idempotencyKey;
    bool streaming = false;
    /// Another entry forwarded the call to this one; it then stays in this zone.
    bool forwarded = false;
    /// Share of the entry that the service may take, in percent.
    int sharePercent = 50;
    /// Identifies the adapter and the body over all callers and resends.
    std::uint64_t fingerprint = 0;
    /// Identifies the whole request for the reservation of its idempotency key.
    std::uint64_t digest = 0;
    /// How long a target may stay silent before its response counts as lost.
    milliseconds responseTimeout = seconds(60);
};

} // namespace tamarackcove
