#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

/// Limit of committed entries in one output; more would delay heartbeats while a long log is applied after a restart.
static constexpr LogIndex MaxEntriesPerOutput = 2000;

static ReplicaLog recoverLog(const RecoveredState &recovered)
{
    ReplicaLog::Base base;
    if (recovered.snapshot) {
        const auto &snapshot = *recovered.snapshot;
        base = {
            .index = snapshot.lastIndex, .term = snapshot.lastTerm, .time = snapshot.lastTime, .group = snapshot.group};
    }
    ReplicaLog log(std::move(base));
    for (const auto &entry : recovered.entries) {
        log.append(entry);
    }
    return log;
}

Replica::Replica(ReplicaOptions options, RecoveredState recovered, TimePoint now)
    : m_options(std::move(options))
    , m_self(recovered.self)
    , m_role(false)
    , m_log(recoverLog(recovered))
    , m_hardState(recovered.hardState)
    , m_snapshot(recovered.snapshot)
    , m_commitIndex(m_log.base().index)
    , m_deliveredIndex(m_log.base().index)
    , m_persistedIndex(m_log.lastIndex())
{
    assert(m_options.leaderLease < m_options.minElectionTimeout && "a lease must end before the next election");
    // A leader may hold a lease based on an answer that this replica sent before its restart, so this replica grants no
    // vote for the minimum election timeout. A replica with an empty data folder has answered no leader.
    if (m_hardState.term > 0) {
        m_lastLeaderContact = now;
    }
    updateVoterRole();
    resetElectionDeadline(now);
    // The only voter of a group starts its election at once, because no other replica can be the leader.
    if (m_log.group().voterCount() == 1 && m_log.group().isVoter(m_self)) {
        m_electionDeadline = now;
    }
}

void Replica::bootstrap(ReplicaGroup group, TimePoint now)
{
    assert(m_log.lastIndex() == 0 && m_hardState.term == 0 && "only an empty replica may form a group");
    setHardState(1, {}, now);
    appendLocal({.kind = EntryKind::Group, .group = std::move(group)});
    updateVoterRole();
    m_electionDeadline = now;
}

std::optional<std::string_view> Replica::refusalReason(const AppendRequest &request) const
{
    auto expected = request.previousIndex;
    for (const auto &entry : request.entries) {
        if (entry->index != ++expected) {
            return "the entries do not follow each other";
        }
        if (entry->kind == EntryKind::Group && !entry->group) {
            return "an entry of kind group has no group";
        }
        const bool committed = entry->index > m_log.base().index && entry->index <= m_commitIndex;
        if (committed && m_log.termAt(entry->index) != entry->term) {
            return "an entry would replace a committed one";
        }
    }
    return std::nullopt;
}

std::optional<std::string_view> Replica::refusalReason(const ReplicaMessage &message) const
{
    const auto *append = std::get_if<AppendRequest>(&message.body);
    const auto *chunk = std::get_if<SnapshotChunk>(&message.body);
    // A sender of an earlier term is answered with the current term instead, which makes it step down.
    if (message.term < m_hardState.term) {
        return std::nullopt;
    }
    const bool leadsTerm = role() == ReplicaRole::Leader && message.term == m_hardState.term;
    if (leadsTerm && (append != nullptr || chunk != nullptr)) {
        return "another replica claims to lead the term of this leader";
    }
    if (append != nullptr) {
        return refusalReason(*append);
    }
    if (chunk != nullptr
        && (chunk->offset > chunk->totalBytes || chunk->bytes.size() > chunk->totalBytes - chunk->offset)) {
        return "a part of a snapshot exceeds its size";
    }
    // A former leader that has lost unsynced entries in a crash may still get replies to them.
    const auto *reply = std::get_if<AppendReply>(&message.body);
    if (reply != nullptr && leadsTerm && reply->accepted && reply->matchedIndex > m_log.lastIndex()) {
        return "a reply acknowledges entries that this leader does not have";
    }
    return std::nullopt;
}

std::optional<std::string_view> Replica::receive(const ReplicaMessage &message, TimePoint now)
{
    const auto &ownGroup = m_log.group().groupId;
    const bool fromOtherGroup = !ownGroup.empty() && !message.groupId.empty() && message.groupId != ownGroup;
    if (message.to != m_self || fromOtherGroup) {
        return std::nullopt;
    }
    if (const auto reason = refusalReason(message)) {
        return reason;
    }
    if (const auto *request = std::get_if<VoteRequest>(&message.body)) {
        onVoteRequest(message, *request, now);
        return std::nullopt;
    }
    const auto *voteReply = std::get_if<VoteReply>(&message.body);
    // A voter that grants a pre-vote does not adopt the term of the request, so its own term may be lower.
    const bool preVoteReply = voteReply != nullptr && voteReply->preVote;
    if (message.term > m_hardState.term) {
        adoptTerm(message.term, now);
    } else if (message.term < m_hardState.term && !preVoteReply) {
        // The higher term of the reply makes a leader of an earlier term step down.
        if (std::holds_alternative<AppendRequest>(message.body)
            || std::holds_alternative<SnapshotChunk>(message.body)) {
            sendOncePersisted(message.from, AppendReply{});
        }
        return std::nullopt;
    }
    if (voteReply != nullptr) {
        onVoteReply(message, *voteReply, now);
    } else if (const auto *append = std::get_if<AppendRequest>(&message.body)) {
        onAppendRequest(message, *append, now);
    } else if (const auto *appendReply = std::get_if<AppendReply>(&message.body)) {
        onAppendReply(message, *appendReply, now);
    } else if (const auto *chunk = std::get_if<SnapshotChunk>(&message.body)) {
        onSnapshotChunk(message, *chunk, now);
    } else if (const auto *snapshotReply = std::get_if<SnapshotReply>(&message.body)) {
        onSnapshotReply(message, *snapshotReply);
    } else if (std::holds_alternative<TimeoutNow>(message.body)) {
        onTimeoutNow(message, now);
    }
    return std::nullopt;
}

void Replica::tick(TimePoint now)
{
    if (role() == ReplicaRole::Leader) {
        // A leader without answers of a majority steps down only after the maximum election timeout. This is longer
        // than the lease, so that a short network failure does not cause an election.
        if (now > std::max(m_electedAt, majorityAnsweredSentAt(now)) + m_options.maxElectionTimeout) {
            stepDown(now);
            return;
        }
        continueTransfer(now);
        reconcileGroup(now);
        return;
    }
    if (role() != ReplicaRole::Learner && now >= m_electionDeadline) {
        // A vote that is being written still counts. With a sync that takes longer than the election timeout, a
        // further election in a higher term would end each one before its votes are counted.
        if (!m_hardState.votedFor.empty() && !hardStatePersisted()) {
            resetElectionDeadline(now);
            return;
        }
        m_role.handle(RoleEvent::ElectionTimeout);
        campaign(true, false, now);
    }
}

TimePoint Replica::deadline() const
{
    if (m_deliveredIndex < m_commitIndex && !installingSnapshot()) {
        return TimePoint{};
    }
    if (role() == ReplicaRole::Learner) {
        return TimePoint::max();
    }
    if (role() != ReplicaRole::Leader) {
        return m_electionDeadline;
    }
    auto next = m_nextCatchUpCheck;
    for (const auto &[id, progress] : m_progress) {
        next
            = std::min(next, std::max(progress.lastHeartbeatAt, progress.answeredSentAt) + m_options.heartbeatInterval);
    }
    return m_progress.empty() && m_peerIdentities.empty() ? TimePoint::max() : next;
}

Result<LogPosition, ReplicaError> Replica::propose(std::string command, std::chrono::system_clock::time_point wallTime,
                                                   TimePoint now)
{
    if (role() != ReplicaRole::Leader) {
        return ReplicaError::NotLeader;
    }
    if (!leaseValid(now) || m_transfer) {
        return ReplicaError::NoMajority;
    }
    if (command.size() > m_options.maxCommandBytes) {
        return ReplicaError::CommandTooLong;
    }
    if (m_log.lastIndex() - m_commitIndex >= m_options.maxUncommitted) {
        return ReplicaError::TooManyUncommitted;
    }
    appendLocal({.kind = EntryKind::Command, .time = wallTime, .command = std::move(command)});
    return LogPosition{.index = m_log.lastIndex(), .term = m_hardState.term};
}

Result<std::uint64_t, ReplicaError> Replica::requestRead(TimePoint now)
{
    if (role() != ReplicaRole::Leader) {
        return ReplicaError::NotLeader;
    }
    m_pendingReads.push_back(
        {.number = ++m_lastReadNumber, .requestedAt = now, .index = std::max(m_commitIndex, m_termStartIndex)});
    if (!leaseValid(now)) {
        for (auto &[id, progress] : m_progress) {
            sendHeartbeat(id, progress, now);
        }
    }
    return m_lastReadNumber;
}

void Replica::markPersisted(std::uint64_t sequence, TimePoint now)
{
    assert(sequence <= m_issuedSequence && "only issued requests can be persisted");
    const bool hardStateWasPersisted = hardStatePersisted();
    while (!m_inFlightPersists.empty() && m_inFlightPersists.front().sequence <= sequence) {
        m_persistedIndex = std::max(m_persistedIndex, m_inFlightPersists.front().lastIndex);
        m_inFlightPersists.pop_front();
    }
    m_persistedSequence = std::max(m_persistedSequence, sequence);
    if (!hardStateWasPersisted && hardStatePersisted() && !m_hardState.votedFor.empty()) {
        allowForVoteWrites(now);
    }
    while (!m_deferredMessages.empty() && m_deferredMessages.front().sequence <= m_persistedSequence) {
        // The receiver would refuse a message of an earlier term.
        if (m_deferredMessages.front().message.term >= m_hardState.term) {
            m_outgoingMessages.push_back(std::move(m_deferredMessages.front().message));
        }
        m_deferredMessages.pop_front();
    }
    if (role() == ReplicaRole::Candidate && m_ownVoteSequence <= m_persistedSequence) {
        countVote(m_self, now);
    }
    if (role() == ReplicaRole::Leader) {
        advanceCommit();
    }
}

ReplicaOutput Replica::takeOutput(TimePoint now)
{
    ReplicaOutput output;
    if (role() == ReplicaRole::Leader) {
        sendAppends(now);
    }
    collectPersist(output);
    collectCommitted(output);
    finishReads(output, now);
    output.messages = std::exchange(m_outgoingMessages, {});
    return output;
}

const ReplicaId &Replica::self() const
{
    return m_self;
}

ReplicaRole Replica::role() const
{
    return m_role.role();
}

Term Replica::term() const
{
    return m_hardState.term;
}

const ReplicaId &Replica::leader() const
{
    return m_leader;
}

Leadership Replica::leadership(TimePoint now) const
{
    const bool transferRequested = m_transfer && m_transfer->sent;
    if (role() != ReplicaRole::Leader || m_deliveredIndex < m_termStartIndex || transferRequested) {
        return Leadership::None;
    }
    return leaseValid(now) ? Leadership::Held : Leadership::Suspended;
}

bool Replica::leads(TimePoint now) const
{
    return leadership(now) == Leadership::Held;
}

LogIndex Replica::commitIndex() const
{
    return m_commitIndex;
}

const ReplicaLog &Replica::log() const
{
    return m_log;
}

const ReplicaGroup &Replica::group() const
{
    return m_log.group();
}

ReplicaMessage Replica::compose(const ReplicaId &to, MessageBody body) const
{
    return {
        .from = m_self, .to = to, .groupId = m_log.group().groupId, .term = m_hardState.term, .body = std::move(body)};
}

void Replica::send(const ReplicaId &to, MessageBody body)
{
    m_outgoingMessages.push_back(compose(to, std::move(body)));
}

void Replica::sendOncePersisted(const ReplicaId &to, MessageBody body)
{
    const auto sequence = hasUnpersistedState() ? m_issuedSequence + 1 : m_issuedSequence;
    if (sequence <= m_persistedSequence) {
        send(to, std::move(body));
        return;
    }
    m_deferredMessages.push_back({.sequence = sequence, .message = compose(to, std::move(body))});
}

void Replica::setHardState(Term term, ReplicaId votedFor, TimePoint now)
{
    m_hardState = {.term = term, .votedFor = std::move(votedFor)};
    m_hardStateDirty = true;
    m_hardStateChangedAt = now;
}

bool Replica::hardStatePersisted() const
{
    return !m_hardStateDirty && m_hardStateSequence <= m_persistedSequence;
}

void Replica::appendLocal(LogEntry entry)
{
    entry.index = m_log.lastIndex() + 1;
    entry.term = m_hardState.term;
    entry.time = std::max(entry.time, m_log.lastTime());
    if (m_firstUnpersistedIndex == 0) {
        m_firstUnpersistedIndex = entry.index;
    }
    m_log.append(std::make_shared<const LogEntry>(std::move(entry)));
}

bool Replica::hasUnpersistedState() const
{
    return m_hardStateDirty || m_firstUnpersistedIndex != 0 || m_unpersistedSnapshot;
}

bool Replica::installingSnapshot() const
{
    return m_unpersistedSnapshot
        || std::any_of(m_inFlightPersists.begin(), m_inFlightPersists.end(),
                       [](const auto &request) { return request.installsSnapshot; });
}

void Replica::collectPersist(ReplicaOutput &output)
{
    if (!hasUnpersistedState()) {
        return;
    }
    auto &request = output.persist.emplace();
    request.sequence = ++m_issuedSequence;
    if (std::exchange(m_hardStateDirty, false)) {
        request.hardState = m_hardState;
        m_hardStateSequence = m_issuedSequence;
    }
    request.snapshot = std::exchange(m_unpersistedSnapshot, std::nullopt);
    for (auto index = std::exchange(m_firstUnpersistedIndex, 0); index != 0 && index <= m_log.lastIndex(); ++index) {
        request.entries.push_back(m_log.at(index));
    }
    m_inFlightPersists.push_back({.sequence = m_issuedSequence,
                                  .lastIndex = m_log.lastIndex(),
                                  .installsSnapshot = request.snapshot.has_value()});
}

void Replica::collectCommitted(ReplicaOutput &output)
{
    // The state machine must load the snapshot before entries after it are applied.
    if (installingSnapshot()) {
        return;
    }
    const auto last = std::min(m_commitIndex, m_deliveredIndex + MaxEntriesPerOutput);
    while (m_deliveredIndex < last) {
        output.committed.push_back(m_log.at(++m_deliveredIndex));
    }
}

} // namespace tamarackcove
