#include "tamarackcove/Control/Watchers/ZoneVotes.h"

#include <algorithm>

namespace tamarackcove {

void ZoneVotes::beginTerm(TimePoint now)
{
    m_previousLeasesExpireAt = now + MaxLease;
    m_leases.clear();
}

ZoneVotes::Decision ZoneVotes::decideVote(TimePoint now, const Zone &zone, const EntryId &candidate,
                                          FencingNumber number, milliseconds lease, FencingNumber recordedNumber,
                                          const EntryId &recordedCandidate)
{
    if (lease <= milliseconds(0) || lease > MaxLease || number < recordedNumber
        || (number == recordedNumber && candidate != recordedCandidate)) {
        return Decision::Refuse;
    }
    auto &zoneLease = m_leases[zone];
    const bool heldByOther = now < zoneLease.expiresAt && zoneLease.candidate != candidate;
    // The recorded candidate may hold a lease that an earlier leader granted.
    const bool otherMayHoldLease = now < m_previousLeasesExpireAt && candidate != recordedCandidate;
    if (heldByOther || otherMayHoldLease) {
        return Decision::Refuse;
    }
    zoneLease.expiresAt = zoneLease.candidate == candidate ? std::max(zoneLease.expiresAt, now + lease) : now + lease;
    zoneLease.candidate = candidate;
    return number == recordedNumber ? Decision::Renew : Decision::Record;
}

} // namespace tamarackcove
