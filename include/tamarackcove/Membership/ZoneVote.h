#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>

namespace tamarackcove {

/// Asks a voter to promise the zone coordinator lease to a candidate, or to extend its promise.
struct ZoneVoteRequest
{
    EntryId candidate;
    /// Distinguishes a restarted process of the same candidate from the one before.
    std::uint64_t session = 0;
    FencingNumber number;
    /// Duration of the lease. The voter counts it from the arrival of the request and the candidate from the sending,
    /// so that the promise of the voter ends after the lease of the candidate.
    milliseconds lease{0};

    bool operator==(const ZoneVoteRequest &) const = default;
};

struct ZoneVoteReply
{
    bool granted = false;
    /// The highest fencing number that the voter has granted or recorded.
    FencingNumber highest;
};

} // namespace tamarackcove
