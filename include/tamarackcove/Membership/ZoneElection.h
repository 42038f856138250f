#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Membership/ZoneVote.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace tamarackcove {

/// Voter id of the control group. No entry can have this id, because names must not contain '@'.
[[nodiscard]] EntryId controlGroupVoter();

/// Whether the control group votes in a zone with this many entries. It votes if the number is even, so that the other
/// half of the entries and the control group are a majority when half of the entries fail.
[[nodiscard]] bool controlGroupVotes(std::size_t entries);

/// Candidate side of the zone coordinator lease: decides when to request votes, and whether this entry holds the lease.
///
/// A round is one request that is sent to every voter. The lease starts when a round that a majority granted was sent,
/// and is shortened by a margin for clock drift. The lease therefore ends before the promise of any voter of that
/// round.
///
/// Thread safety: used on one thread.
class ZoneElection
{
public:
    struct Options
    {
        EntryId self;
        /// Entries of the zone, including this one, and controlGroupVoter() if the control group votes.
        std::set<EntryId> voters;
        milliseconds lease = seconds(2);
        milliseconds renewInterval = milliseconds(500);
        /// Subtracted from the lease because clocks may run at different rates.
        milliseconds clockMargin = milliseconds(100);
        /// A campaign that has no majority this long after its start is ended.
        milliseconds campaignTimeout = milliseconds(300);
        /// Upper bound of the random delay before a campaign, so that candidates rarely split the vote.
        milliseconds maxCampaignDelay = milliseconds(300);
        /// See ZoneVoteRequest::session.
        std::uint64_t session = 1;
        std::uint64_t seed = 1;
        /// Lower bound of the fencing number of a campaign: the wall clock in milliseconds, so that numbers increase
        /// even if all voters and targets restart. With a resolution of seconds, an entry that restarts within the same
        /// second would reuse its old number.
        std::function<FencingNumber()> lowestNumber;
    };

    enum class RoundKind {
        /// Requests or extends the promises of the voters.
        Request,
        /// Releases the promises of the voters.
        Release,
    };

    struct Round
    {
        RoundKind kind = RoundKind::Request;
        std::uint64_t id = 0;
        ZoneVoteRequest request;
        /// Used with RoundKind::Release only: the lease was never held under the fencing number of the request.
        bool leaseNeverHeld = false;
    };

    ZoneElection(Options options, TimePoint now);

    /// Returns the round to send to every voter, including the voter of this entry, if one is due.
    /// `otherCandidatePromiseEnd` is the end of the promise that the voter of this entry has given to another
    /// candidate; empty if there is none.
    [[nodiscard]] std::optional<Round> poll(TimePoint now, std::optional<TimePoint> otherCandidatePromiseEnd);
    /// When poll() may return a round next, unless a reply or a higher fencing number arrives before.
    [[nodiscard]] TimePoint nextPoll() const;

    /// Whether a reply to this round can still extend the lease or complete the campaign.
    [[nodiscard]] bool awaitsReply(std::uint64_t roundId) const;
    void onReply(std::uint64_t roundId, const EntryId &voter, const ZoneVoteReply &reply);
    /// Records a fencing number that was seen at a target. If this number is higher than number(), poll() gives up the
    /// lease and starts a campaign with a higher number.
    void recordFencingNumber(FencingNumber number);

    /// Gives up the lease or the campaign for good: poll() starts no further campaign. Returns the round that releases
    /// the promises of the voters, if any voter may have given one.
    [[nodiscard]] std::optional<Round> resign();

    [[nodiscard]] bool holdsLease(TimePoint now) const;
    /// Precondition: holdsLease().
    [[nodiscard]] TimePoint leaseEnd() const;
    /// Fencing number of the current lease or campaign, or of the last one.
    [[nodiscard]] FencingNumber number() const;

private:
    enum class Stage {
        Idle,
        Campaigning,
        Holding,
    };

    struct SentRound
    {
        TimePoint sentAt;
        std::set<EntryId> grantedBy;
    };

    [[nodiscard]] Round startRequestRound(TimePoint now);
    [[nodiscard]] Round startReleaseRound(bool leaseNeverHeld);
    /// Becomes idle until a random delay after `retryFrom`.
    void scheduleCampaign(TimePoint retryFrom);
    [[nodiscard]] ZoneVoteRequest request() const;

    Options m_options;
    std::mt19937_64 m_random;
    Stage m_stage = Stage::Idle;
    bool m_resigned = false;
    TimePoint m_nextCampaign;
    TimePoint m_campaignEnd = TimePoint::min();
    TimePoint m_nextRenewal = TimePoint::min();
    TimePoint m_leaseEnd = TimePoint::min();
    FencingNumber m_number;
    FencingNumber m_highestSeen;
    std::uint64_t m_lastRoundId = 0;
    std::map<std::uint64_t, SentRound> m_sentRounds;
};

} // namespace tamarackcove
