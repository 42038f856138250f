#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>

namespace tamarackcove {

/// Longest time that an election is given for the disks of other voters; a longer stall of a disk does not keep this
/// replica from a further election.
static constexpr milliseconds MaxVoteWriteAllowance{5000};

void Replica::resetElectionDeadline(TimePoint now)
{
    const auto spread
        = static_cast<std::uint64_t>((m_options.maxElectionTimeout - m_options.minElectionTimeout).count());
    const milliseconds extra(spread == 0 ? 0 : m_options.random() % (spread + 1));
    m_electionDeadline = now + m_options.minElectionTimeout + extra;
}

void Replica::allowForVoteWrites(TimePoint now)
{
    // Keeps three quarters of the longest earlier write, since the disk of another voter may be as slow as that.
    m_slowestVoteWrite = std::max(now - m_hardStateChangedAt, m_slowestVoteWrite * 3 / 4);
    const auto allowance = std::min<Duration>(m_slowestVoteWrite * 2, MaxVoteWriteAllowance);
    m_electionDeadline = std::max(m_electionDeadline, now + allowance);
}

void Replica::campaign(bool preVote, bool transfer, TimePoint now)
{
    m_votes.clear();
    m_leader = {};
    resetElectionDeadline(now);
    if (!preVote) {
        setHardState(m_hardState.term + 1, m_self, now);
        m_ownVoteSequence = m_issuedSequence + 1;
    }
    for (const auto &member : m_log.group().members) {
        if (!member.voter || member.id == m_self) {
            continue;
        }
        const VoteRequest request{
            .preVote = preVote, .transfer = transfer, .lastIndex = m_log.lastIndex(), .lastTerm = m_log.lastTerm()};
        if (preVote) {
            send(member.id, request);
            m_outgoingMessages.back().term = m_hardState.term + 1;
        } else {
            sendOncePersisted(member.id, request);
        }
    }
    if (preVote) {
        countVote(m_self, now);
    }
}

void Replica::countVote(const ReplicaId &voter, TimePoint now)
{
    m_votes.insert(voter);
    const auto &group = m_log.group();
    const auto granted = static_cast<std::size_t>(
        std::count_if(m_votes.begin(), m_votes.end(), [&](const ReplicaId &id) { return group.isVoter(id); }));
    if (granted < group.majority()) {
        return;
    }
    if (role() == ReplicaRole::PreCandidate) {
        m_role.handle(RoleEvent::PreVoteWon);
        campaign(false, false, now);
    } else if (role() == ReplicaRole::Candidate) {
        becomeLeader(now);
    }
}

void Replica::becomeLeader(TimePoint now)
{
    m_role.handle(RoleEvent::VoteWon);
    m_leader = m_self;
    m_electedAt = now;
    m_transfer.reset();
    m_progress.clear();
    updateTrackedPeers();
    appendLocal({.kind = EntryKind::NoOp});
    m_termStartIndex = m_log.lastIndex();
    m_catchUpIndex = m_commitIndex;
    m_nextCatchUpCheck = now + m_options.catchUpInterval;
    for (auto &[id, progress] : m_progress) {
        sendHeartbeat(id, progress, now);
    }
}

void Replica::stepDown(TimePoint now)
{
    m_role.handle(RoleEvent::StepDown);
    m_leader = {};
    m_leaderLossesTolerated = -1;
    m_progress.clear();
    m_transfer.reset();
    for (const auto &read : m_pendingReads) {
        m_failedReads.push_back(read.number);
    }
    m_pendingReads.clear();
    resetElectionDeadline(now);
}

void Replica::adoptTerm(Term term, TimePoint now)
{
    setHardState(term, {}, now);
    m_leader = {};
    if (role() != ReplicaRole::Follower && role() != ReplicaRole::Learner) {
        stepDown(now);
    }
}

void Replica::updateVoterRole()
{
    m_role.handle(m_log.group().isVoter(m_self) ? RoleEvent::BecameVoter : RoleEvent::NoLongerVoter);
}

bool Replica::leaderMayHoldLease(TimePoint now) const
{
    if (role() == ReplicaRole::Leader) {
        return leaseValid(now);
    }
    return m_lastLeaderContact != TimePoint{} && now < m_lastLeaderContact + m_options.minElectionTimeout;
}

void Replica::onVoteRequest(const ReplicaMessage &message, const VoteRequest &request, TimePoint now)
{
    VoteReply reply{.preVote = request.preVote, .granted = false, .requestTerm = message.term};
    const bool leaseMayBeValid = leaderMayHoldLease(now) && !request.transfer;
    const bool upToDate = request.lastTerm > m_log.lastTerm()
        || (request.lastTerm == m_log.lastTerm() && request.lastIndex >= m_log.lastIndex());
    if (request.preVote) {
        reply.granted = !leaseMayBeValid && upToDate && message.term > m_hardState.term;
        sendOncePersisted(message.from, reply);
        return;
    }
    // While a leader may hold a lease, the request is ignored and its term is not adopted: otherwise a replica that was
    // isolated, and is in a higher term, could depose a working leader.
    if (leaseMayBeValid) {
        return;
    }
    if (message.term > m_hardState.term) {
        adoptTerm(message.term, now);
    }
    const bool voteAvailable = m_hardState.votedFor.empty() || m_hardState.votedFor == message.from;
    if (message.term == m_hardState.term && voteAvailable && upToDate) {
        if (m_hardState.votedFor.empty()) {
            setHardState(m_hardState.term, message.from, now);
        }
        resetElectionDeadline(now);
        reply.granted = true;
    }
    sendOncePersisted(message.from, reply);
}

void Replica::onVoteReply(const ReplicaMessage &message, const VoteReply &reply, TimePoint now)
{
    const auto expectedTerm = reply.preVote ? m_hardState.term + 1 : m_hardState.term;
    const auto expectedRole = reply.preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    if (reply.granted && reply.requestTerm == expectedTerm && role() == expectedRole) {
        countVote(message.from, now);
    }
}

void Replica::onTimeoutNow(const ReplicaMessage &message, TimePoint now)
{
    const bool mayCampaign = role() == ReplicaRole::Follower || role() == ReplicaRole::PreCandidate;
    if (mayCampaign && message.from == m_leader) {
        m_role.handle(RoleEvent::TransferReceived);
        campaign(false, true, now);
    }
}

bool Replica::transferLeadership(TimePoint now)
{
    if (role() != ReplicaRole::Leader) {
        return false;
    }
    const ReplicaId *best = nullptr;
    for (const auto &[id, progress] : m_progress) {
        if (m_log.group().isVoter(id) && reachable(id, now)
            && (best == nullptr || progress.matchIndex > m_progress.at(*best).matchIndex)) {
            best = &id;
        }
    }
    if (best == nullptr) {
        return false;
    }
    if (!m_transfer) {
        m_transfer = Transfer{.target = *best, .deadline = now + m_options.maxElectionTimeout};
    }
    continueTransfer(now);
    return true;
}

void Replica::continueTransfer(TimePoint now)
{
    if (!m_transfer) {
        return;
    }
    const auto progress = m_progress.find(m_transfer->target);
    if (!m_transfer->sent && progress != m_progress.end() && progress->second.matchIndex == m_log.lastIndex()) {
        m_transfer->sent = true;
        send(m_transfer->target, TimeoutNow{});
    }
    if (now < m_transfer->deadline) {
        return;
    }
    // Once TimeoutNow is sent, the target can start an election that ignores the lease at any time, so this replica
    // must not act as the leader of this term again.
    if (m_transfer->sent) {
        stepDown(now);
    } else {
        m_transfer.reset();
    }
}

} // namespace tamarackcove
