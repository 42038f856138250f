#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>

namespace tamarackcove {

/// The control leader's side of a zone's coordinator election, in which the control group is one voter.
///
/// The newest vote of each zone is in the replicated state; the leases are in memory only. Until the longest
/// lease that its predecessor may have granted has expired, a new leader therefore votes for no candidate other than
/// the recorded one.
///
/// Thread safety: used on one thread.
class ZoneVotes
{
public:
    enum class Decision {
        Refuse,
        /// Extends the lease of the recorded candidate.
        Renew,
        /// The vote is granted once it is recorded in the replicated state.
        Record,
    };

    /// The longest lease that is granted.
    static constexpr milliseconds MaxLease = seconds(5);

    /// Drops the leases from an earlier term of this process. Called when this process has become the leader.
    void beginTerm(TimePoint now);

    /// Decides on a vote request. Unless the request is refused, the candidate gets the lease, and requests of other
    /// candidates are refused until the lease expires.
    /// Precondition: this process was the leader at some moment after the request was received; the recorded vote is
    /// that of the replicated state at that moment.
    Decision decideVote(TimePoint now, const Zone &zone, const EntryId &candidate, FencingNumber number,
                        milliseconds lease, FencingNumber recordedNumber, const EntryId &recordedCandidate);

private:
    struct Lease
    {
        EntryId candidate;
        TimePoint expiresAt;
    };

    /// The time until which a lease that an earlier leader granted may be valid.
    TimePoint m_previousLeasesExpireAt;
    std::map<Zone, Lease> m_leases;
};

} // namespace tamarackcove
