#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Membership/ZoneVote.h"

#include <optional>

namespace tamarackcove {

/// One voter of the zone coordinator lease. It keeps its promise in memory only, so a restarted voter must not vote
/// before the longest lease that it may have promised has run out.
///
/// Thread safety: used on one thread.
class ZoneVoter
{
public:
    explicit ZoneVoter(TimePoint votesFrom);

    [[nodiscard]] VoteReply request(const VoteRequest &request, TimePoint now);
    /// The candidate no longer wants the lease. A release that arrives late has no effect on a later promise. When the
    /// number was never used, because the campaign failed, the voter takes up the state before it: it could not renew
    /// its promise to a coordinator with a lower number otherwise.
    void release(const VoteRequest &promised, bool neverUsed);
    /// A number seen elsewhere, such as at a target; lower ones are not granted afterwards.
    void noteNumber(FencingNumber number);

    /// The request that holds the promise now.
    [[nodiscard]] std::optional<VoteRequest> promised(TimePoint now) const;
    /// Precondition: promised(now) holds a value.
    [[nodiscard]] TimePoint promiseEnd() const;
    [[nodiscard]] FencingNumber highest() const;

private:
    TimePoint m_votesFrom;
    VoteRequest m_promised;
    TimePoint m_promiseEnd = TimePoint::min();
    FencingNumber m_highest;
    VoteRequest m_promisedBefore;
    FencingNumber m_highestBefore;
};

} // namespace tamarackcove
