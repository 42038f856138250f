#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <compare>
#include <cstdint>

namespace tamarackcove {

/// Limits on adapter loads from the weight store, either for all zones together or for one zone.
struct LoadLimits
{
    /// Loads started per second.
    double loadsPerSecond = 0;
    int concurrentLoads = 0;
};

/// Identifies and orders permits: by the term of the leader that granted them, then by their number within the term.
struct PermitId
{
    std::uint64_t term = 0;
    std::uint64_t number = 0;

    auto operator<=>(const PermitId &) const = default;
};

/// A zone coordinator's request for a permit to the leader of the control group.
struct PermitRequest
{
    Zone zone;
    FencingNumber fencing;
    /// The rate and the number of concurrent adapter loads that the zone could use now.
    LoadLimits wanted;
    /// The limits that the zone's unexpired permit still allows; zero if the zone has no unexpired permit.
    LoadLimits held;
    /// Loads in progress on all targets of the zone, including those that an earlier coordinator ordered.
    int inFlight = 0;
    /// The newest permit that this coordinator has received.
    PermitId received;
};

/// The leader's answer to a PermitRequest: a new permit and the zone's quota.
struct PermitAnswer
{
    LoadLimits permittedLimits;
    /// Validity of the permit, counted from the time at which the coordinator sent the request.
    milliseconds validFor{0};
    PermitId stamp;
    /// The partition quota: the limits that apply to the zone after a long time without an answer from the leader; see
    /// ZoneLoadLimiter.
    LoadLimits quota;
};

/// Durations that the control leader and the zone coordinators must configure alike.
struct PermitTiming
{
    /// Validity of a permit, counted from the time at which the coordinator sent the request.
    milliseconds lease = seconds(5);
    /// Upper bound on the duration of an adapter load; load orders carry it as their deadline.
    milliseconds longestLoad = seconds(10);
};

} // namespace tamarackcove
