#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Membership/ZoneVote.h"

#include <optional>

namespace tamarackcove {

/// One voter for the zone coordinator lease. Its promise is in memory only, so a restarted voter must not vote until
/// the longest lease that it may have promised before the restart has expired.
///
/// Thread safety: used on one thread.
class ZoneVoter
{
public:
    /// Refuses all requests before `firstVoteAt`.
    explicit ZoneVoter(TimePoint firstVoteAt);

    /// Grants or refuses a request. A granted request becomes the current promise.
    [[nodiscard]] ZoneVoteReply handleRequest(const ZoneVoteRequest &request, TimePoint now);
    /// Ends the promise because the candidate gave up the lease or the campaign. A release that arrives after a later
    /// promise has no effect. `leaseNeverHeld` means that the campaign failed. The voter then restores its state before
    /// that promise, since otherwise it could not renew its promise to a coordinator with a lower number.
    void handleRelease(const ZoneVoteRequest &promised, bool leaseNeverHeld);
    /// Records a fencing number that was seen elsewhere, such as at a target. Requests with a lower number are refused
    /// from then on.
    void recordFencingNumber(FencingNumber number);

    /// The request to which the lease is promised now; empty if the promise has ended.
    [[nodiscard]] std::optional<ZoneVoteRequest> currentPromise(TimePoint now) const;
    /// Precondition: currentPromise(now) holds a value.
    [[nodiscard]] TimePoint promiseEnd() const;
    /// The highest fencing number that was granted or recorded.
    [[nodiscard]] FencingNumber highest() const;

private:
    TimePoint m_firstVoteAt;
    ZoneVoteRequest m_promised;
    TimePoint m_promiseEnd = TimePoint::min();
    FencingNumber m_highestSeen;
    ZoneVoteRequest m_previousPromise;
    FencingNumber m_previousHighestSeen;
};

} // namespace tamarackcove
