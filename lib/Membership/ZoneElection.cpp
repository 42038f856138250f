#include "tamarackcove/Membership/ZoneElection.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

EntryId controlGroupVoter()
{
    return EntryId("@control");
}

bool controlGroupVotes(std::size_t entries)
{
    return entries % 2 == 0;
}

ZoneElection::ZoneElection(Options options, TimePoint now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    assert(m_options.voters.contains(m_options.self) && "the candidate must be one of the voters");
    m_nextCampaign = now;
    if (m_options.voters.size() > 1) {
        scheduleCampaign(now);
    }
}

ZoneVoteRequest ZoneElection::request() const
{
    return ZoneVoteRequest{
        .candidate = m_options.self, .session = m_options.session, .number = m_number, .lease = m_options.lease};
}

ZoneElection::Round ZoneElection::startRequestRound(TimePoint now)
{
    ++m_lastRoundId;
    // A reply to a round that was sent longer ago than the lease cannot extend the lease.
    std::erase_if(m_sentRounds, [&](const auto &round) { return now - round.second.sentAt > m_options.lease; });
    m_sentRounds[m_lastRoundId].sentAt = now;
    return Round{.kind = RoundKind::Request, .id = m_lastRoundId, .request = request()};
}

ZoneElection::Round ZoneElection::startReleaseRound(bool leaseNeverHeld)
{
    m_sentRounds.clear();
    return Round{
        .kind = RoundKind::Release, .id = ++m_lastRoundId, .request = request(), .leaseNeverHeld = leaseNeverHeld};
}

void ZoneElection::scheduleCampaign(TimePoint retryFrom)
{
    m_stage = Stage::Idle;
    m_leaseEnd = TimePoint::min();
    std::uniform_int_distribution<milliseconds::rep> delay(0, m_options.maxCampaignDelay.count());
    m_nextCampaign = retryFrom + milliseconds(delay(m_random));
}

std::optional<ZoneElection::Round> ZoneElection::poll(TimePoint now, std::optional<TimePoint> otherCandidatePromiseEnd)
{
    if (m_resigned) {
        return std::nullopt;
    }
    switch (m_stage) {
    case Stage::Holding:
        if (now >= m_leaseEnd) {
            scheduleCampaign(now);
            return startReleaseRound(false);
        }
        if (m_highestSeen > m_number) {
            scheduleCampaign(now);
            m_nextCampaign = now;
            return startReleaseRound(false);
        }
        if (now >= m_nextRenewal) {
            m_nextRenewal = now + m_options.renewInterval;
            return startRequestRound(now);
        }
        return std::nullopt;
    case Stage::Campaigning:
        if (now < m_campaignEnd) {
            return std::nullopt;
        }
        scheduleCampaign(now);
        return startReleaseRound(true);
    case Stage::Idle:
        break;
    }
    if (otherCandidatePromiseEnd && *otherCandidatePromiseEnd > m_nextCampaign) {
        scheduleCampaign(*otherCandidatePromiseEnd);
    }
    if (now < m_nextCampaign) {
        return std::nullopt;
    }
    m_stage = Stage::Campaigning;
    m_number = std::max(m_highestSeen, m_options.lowestNumber ? m_options.lowestNumber() : FencingNumber()).next();
    m_campaignEnd = now + m_options.campaignTimeout;
    m_nextRenewal = now + m_options.renewInterval;
    return startRequestRound(now);
}

TimePoint ZoneElection::nextPoll() const
{
    if (m_resigned) {
        return TimePoint::max();
    }
    switch (m_stage) {
    case Stage::Holding:
        return std::min(m_nextRenewal, m_leaseEnd);
    case Stage::Campaigning:
        return m_campaignEnd;
    case Stage::Idle:
        break;
    }
    return m_nextCampaign;
}

bool ZoneElection::awaitsReply(std::uint64_t roundId) const
{
    return m_stage != Stage::Idle && m_sentRounds.contains(roundId);
}

void ZoneElection::onReply(std::uint64_t roundId, const EntryId &voter, const ZoneVoteReply &reply)
{
    if (m_stage != Stage::Holding) {
        m_highestSeen = std::max(m_highestSeen, reply.highest);
    }
    const auto round = m_sentRounds.find(roundId);
    if (m_stage == Stage::Idle || !reply.granted || round == m_sentRounds.end() || !m_options.voters.contains(voter)) {
        return;
    }
    round->second.grantedBy.insert(voter);
    if (round->second.grantedBy.size() * 2 <= m_options.voters.size()) {
        return;
    }
    if (m_stage == Stage::Campaigning) {
        m_highestSeen = m_number;
    }
    m_stage = Stage::Holding;
    m_leaseEnd = std::max(m_leaseEnd, round->second.sentAt + m_options.lease - m_options.clockMargin);
}

void ZoneElection::recordFencingNumber(FencingNumber number)
{
    m_highestSeen = std::max(m_highestSeen, number);
}

std::optional<ZoneElection::Round> ZoneElection::resign()
{
    m_resigned = true;
    if (m_stage == Stage::Idle) {
        return std::nullopt;
    }
    const bool leaseNeverHeld = m_stage == Stage::Campaigning;
    scheduleCampaign(TimePoint::max() - m_options.maxCampaignDelay);
    return startReleaseRound(leaseNeverHeld);
}

bool ZoneElection::holdsLease(TimePoint now) const
{
    return m_stage == Stage::Holding && now < m_leaseEnd;
}

TimePoint ZoneElection::leaseEnd() const
{
    return m_leaseEnd;
}

FencingNumber ZoneElection::number() const
{
    return m_number;
}

} // namespace tamarackcove
