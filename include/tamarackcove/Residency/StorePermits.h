#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <compare>
#include <cstdint>

namespace tamarackcove {

/// A part of what the weight store allows.
struct StoreRights
{
    double loadsPerSecond = 0;
    int concurrentLoads = 0;
};

/// Orders permits: by the term of the leader that gave them, then by their number in it.
struct PermitStamp
{
    std::uint64_t term = 0;
    std::uint64_t number = 0;

    auto operator<=>(const PermitStamp &) const = default;
};

/// What a zone coordinator asks of the control leader.
struct PermitRequest
{
    Zone zone;
    FencingNumber fencing;
    StoreRights wanted;
    /// The unexpired permit that the zone holds.
    StoreRights held;
    /// Loads in progress on all targets of the zone, whoever ordered them.
    int inFlight = 0;
    /// The newest permit that the zone has received, by this coordinator.
    PermitStamp received;
};

struct PermitAnswer
{
    StoreRights rights;
    /// Counted from the sending of the request.
    milliseconds validFor{0};
    PermitStamp stamp;
    /// What the zone may use when it has been without an answer for long; see StoreShare.
    StoreRights quota;
};

/// The times that both sides of the permits agree on.
struct PermitTiming
{
    milliseconds lease = seconds(5);
    /// No load takes longer: orders carry this deadline.
    milliseconds longestLoad = seconds(10);
};

} // namespace tamarackcove
