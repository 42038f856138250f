#include "tamarackcove/Control/Watchers/ZoneVotes.h"

#include <algorithm>

namespace tamarackcove {

void ZoneVotes::beginTerm(TimePoint now)
{
    m_quietUntil = now + MaxLease;
    m_leases.clear();
}

ZoneVotes::Decision ZoneVotes::vote(TimePoint now, const Zone &zone, const EntryId &candidate, FencingNumber number,
                                    milliseconds lease, FencingNumber recordedNumber, const EntryId &recordedCandidate)
{
    if (lease <= milliseconds(0) || lease > MaxLease || number < recordedNumber
        || (number == recordedNumber && candidate != recordedCandidate)) {
        return Decision::Refuse;
    }
    auto &held = m_leases[zone];
    const bool otherHolds = now < held.until && held.candidate != candidate;
    // The recorded candidate may be the holder of a lease that a leader before gave.
    const bool otherMayHold = now < m_quietUntil && candidate != recordedCandidate;
    if (otherHolds || otherMayHold) {
        return Decision::Refuse;
    }
    held.until = held.candidate == candidate ? std::max(held.until, now + lease) : now + lease;
    held.candidate = candidate;
    return number == recordedNumber ? Decision::Renew : Decision::Record;
}

} // namespace tamarackcove
