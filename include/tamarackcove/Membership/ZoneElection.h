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

/// The name under which the vote of the control group is counted. No entry has it: '@' is no character of a name.
[[nodiscard]] EntryId controlGroupVoter();

/// Whether the control group votes in a zone with this many entries. It does when their count is even, so that losing
/// half of the entries leaves a majority.
[[nodiscard]] bool controlGroupVotes(std::size_t entries);

/// The candidate side of the zone coordinator lease: when to ask for votes, and whether the lease is held.
///
/// The lease counts from the sending of a round that a majority granted, less a margin for clocks that run at
/// different rates; it therefore ends before the promise of any voter of that round.
/// Thread safety: used on one thread.
class ZoneElection
{
public:
    struct Options
    {
        EntryId self;
        /// Entries of the zone, this one included, and the control group where it votes.
        std::set<EntryId> voters;
        milliseconds lease = seconds(2);
        milliseconds renewInterval = milliseconds(500);
        milliseconds clockMargin = milliseconds(100);
        /// A campaign without a majority ends after this long.
        milliseconds campaignTimeout = milliseconds(300);
        /// Candidates wait a random time up to this one before they ask, so that they rarely ask together.
        milliseconds maxCampaignDelay = milliseconds(300);
        std::uint64_t session = 1;
        std::uint64_t seed = 1;
        /// Milliseconds of the wall clock, asked at each campaign: numbers then grow over a restart of all voters and
        /// targets. Seconds would give an entry that restarts within one of them its old number again.
        std::function<FencingNumber()> lowestNumber;
    };

    enum class RoundKind {
        Request,
        /// Tell the voters that the promise is not wanted any more.
        Release,
    };

    struct Round
    {
        RoundKind kind = RoundKind::Request;
        std::uint64_t id = 0;
        VoteRequest request;
        /// Of a release: the lease was never held under this number.
        bool neverUsed = false;
    };

    ZoneElection(Options options, TimePoint now);

    /// Returns a round to send to every voter, this entry's own included, when one is due.
    /// `otherPromiseEnd` is set while the own voter has promised the lease to another candidate.
    [[nodiscard]] std::optional<Round> poll(TimePoint now, std::optional<TimePoint> otherPromiseEnd);
    /// When poll() has work next, as far as is known now.
    [[nodiscard]] TimePoint nextPoll() const;

    /// Whether a reply to this round can still count for the current number.
    [[nodiscard]] bool awaits(std::uint64_t roundId) const;
    void onReply(std::uint64_t roundId, const EntryId &voter, const VoteReply &reply);
    /// A target showed this number. When it is above the own one, poll() starts over with a higher one.
    void noteNumber(FencingNumber number);

    /// Ends the term and any campaign. Returns the round that tells the voters, if they may have promised anything.
    [[nodiscard]] std::optional<Round> resign();

    [[nodiscard]] bool holdsLease(TimePoint now) const;
    /// Precondition: holdsLease().
    [[nodiscard]] TimePoint leaseEnd() const;
    /// The number of the current term or campaign.
    [[nodiscard]] FencingNumber number() const;

private:
    enum class Stage {
        Idle,
        Campaigning,
        Holding,
    };

    struct Sent
    {
        TimePoint at;
        std::set<EntryId> granted;
    };

    [[nodiscard]] Round startRound(TimePoint now);
    [[nodiscard]] Round releaseRound(bool neverUsed);
    void becomeIdle(TimePoint retryFrom);
    [[nodiscard]] VoteRequest request() const;

    Options m_options;
    std::mt19937_64 m_random;
    Stage m_stage = Stage::Idle;
    bool m_resigned = false;
    TimePoint m_nextCampaign;
    TimePoint m_campaignEnd = TimePoint::min();
    TimePoint m_nextRenewal = TimePoint::min();
    TimePoint m_leaseEnd = TimePoint::min();
    FencingNumber m_number;
    FencingNumber m_highest;
    std::uint64_t m_lastRound = 0;
    std::map<std::uint64_t, Sent> m_rounds;
};

} // namespace tamarackcove
