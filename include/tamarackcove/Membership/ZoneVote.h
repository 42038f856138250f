#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>

namespace tamarackcove {

/// Asks a voter to promise the zone coordinator lease, or to extend the promise.
struct VoteRequest
{
    EntryId candidate;
    /// Differs between two processes of the same candidate.
    std::uint64_t session = 0;
    FencingNumber number;
    /// The voter counts it from the reception, the candidate from the sending; the promise therefore ends later.
    milliseconds lease{0};

    bool operator==(const VoteRequest &) const = default;
};

struct VoteReply
{
    bool granted = false;
    /// The highest number that the voter has granted or seen.
    FencingNumber highest;
};

} // namespace tamarackcove
