#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>

namespace tamarackcove {

/// The control leader's side of a zone's coordinator election, in which the control group is one voter.
///
/// The newest vote of each zone is in the replicated state; the leases are in memory. A new leader gives no vote to
/// another candidate until the longest lease that its predecessor may have given has run out.
/// Thread safety: used on one thread.
class ZoneVotes
{
public:
    enum class Decision {
        Refuse,
        /// The recorded candidate goes on.
        Renew,
        /// Granted once it is recorded in the replicated state.
        Record,
    };

    /// The longest lease that is given.
    static constexpr milliseconds MaxLease = seconds(5);

    void beginTerm(TimePoint now);

    /// Decides about a vote and, unless it refuses, holds off other candidates for the lease.
    /// Precondition: this process was the leader at some moment after the request was received; the recorded vote is
    /// that of the replicated state at that moment.
    Decision vote(TimePoint now, const Zone &zone, const EntryId &candidate, FencingNumber number, milliseconds lease,
                  FencingNumber recordedNumber, const EntryId &recordedCandidate);

private:
    struct Lease
    {
        EntryId candidate;
        TimePoint until;
    };

    TimePoint m_quietUntil;
    std::map<Zone, Lease> m_leases;
};

} // namespace tamarackcove
