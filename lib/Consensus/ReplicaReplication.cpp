#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace tamarackcove {

void Replica::followLeader(const ReplicaMessage &message, TimePoint now)
{
    assert(role() != ReplicaRole::Leader && "a term has one leader");
    m_leader = message.from;
    m_lastLeaderContact = now;
    m_role.handle(RoleEvent::StepDown);
    resetElectionDeadline(now);
}

void Replica::onAppendRequest(const ReplicaMessage &message, const AppendRequest &request, TimePoint now)
{
    followLeader(message, now);
    m_leaderLossesTolerated = request.lossesTolerated;
    const auto previous = request.previousIndex;
    // Entries before the base of the log are committed, so they equal the entries of the leader.
    const bool matches = previous < m_log.base().index
        || (previous <= m_log.lastIndex() && m_log.termAt(previous) == request.previousTerm);
    if (!matches) {
        const auto hint = m_log.lastIndex() < previous ? m_log.lastIndex() : m_commitIndex;
        sendOncePersisted(message.from, AppendReply{.accepted = false, .matchedIndex = hint, .sentAt = request.sentAt});
        return;
    }
    storeEntries(request);
    const auto last = previous + request.entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(request.commitIndex, last));
    AppendReply reply{.accepted = true, .matchedIndex = last, .sentAt = request.sentAt};
    if (request.entries.empty() && hardStatePersisted()) {
        // A heartbeat is answered without waiting for the disk: a slow sync must not cost the leader its lease.
        reply.matchedIndex = std::min(last, m_persistedIndex);
        send(message.from, reply);
        return;
    }
    sendOncePersisted(message.from, reply);
}

void Replica::storeEntries(const AppendRequest &request)
{
    const auto groupIndex = m_log.groupIndex();
    for (const auto &entry : request.entries) {
        if (entry->index <= m_log.base().index || m_log.termAt(entry->index) == entry->term) {
            continue;
        }
        if (entry->index <= m_log.lastIndex()) {
            assert(entry->index > m_commitIndex && "a committed entry is never replaced");
            const auto last = entry->index - 1;
            m_log.truncateAfter(last);
            m_persistedIndex = std::min(m_persistedIndex, last);
            for (auto &persist : m_inFlightPersists) {
                persist.lastIndex = std::min(persist.lastIndex, last);
            }
            if (m_firstUnpersistedIndex > entry->index) {
                m_firstUnpersistedIndex = 0;
            }
        }
        if (m_firstUnpersistedIndex == 0) {
            m_firstUnpersistedIndex = entry->index;
        }
        m_log.append(entry);
    }
    if (m_log.groupIndex() != groupIndex) {
        updateVoterRole();
    }
}

void Replica::onAppendReply(const ReplicaMessage &message, const AppendReply &reply, TimePoint now)
{
    const auto found = m_progress.find(message.from);
    if (role() != ReplicaRole::Leader || found == m_progress.end()) {
        return;
    }
    auto &progress = found->second;
    progress.answeredSentAt = std::max(progress.answeredSentAt, reply.sentAt);
    if (!reply.accepted) {
        progress.nextIndex = std::max(progress.matchIndex, std::min(reply.matchedIndex, m_log.lastIndex())) + 1;
        progress.inFlight = 0;
        progress.pipelining = false;
        return;
    }
    progress.matchIndex = std::max(progress.matchIndex, reply.matchedIndex);
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    progress.inFlight = progress.matchIndex + 1 == progress.nextIndex ? 0 : std::max(0, progress.inFlight - 1);
    progress.pipelining = true;
    progress.caughtUp = progress.caughtUp || progress.matchIndex >= m_catchUpIndex;
    advanceCommit();
    continueTransfer(now);
}

void Replica::sendAppends(TimePoint now)
{
    for (auto &[id, progress] : m_progress) {
        if (progress.nextIndex <= m_log.base().index && !progress.snapshot) {
            assert(m_snapshot && "entries are dropped only behind a snapshot");
            progress.snapshot = std::make_shared<const SnapshotImage>(*m_snapshot);
            progress.snapshotOffset = 0;
            progress.lastChunkAt = {};
        }
        if (progress.snapshot) {
            sendChunk(id, progress, now);
        } else {
            sendEntries(id, progress, now);
        }
        if (now >= std::max(progress.lastHeartbeatAt, progress.answeredSentAt) + m_options.heartbeatInterval) {
            sendHeartbeat(id, progress, now);
        }
    }
}

AppendRequest Replica::composeAppend(LogIndex previous, TimePoint now) const
{
    return {.previousIndex = previous,
            .previousTerm = m_log.termAt(previous),
            .commitIndex = m_commitIndex,
            .sentAt = now,
            .lossesTolerated = lossesTolerated(now)};
}

void Replica::sendEntries(const ReplicaId &to, ReplicaProgress &progress, TimePoint now)
{
    const int limit = progress.pipelining ? m_options.maxInFlight : 1;
    while (progress.nextIndex <= m_log.lastIndex() && progress.inFlight < limit) {
        auto request = composeAppend(progress.nextIndex - 1, now);
        request.entries = m_log.slice(progress.nextIndex, m_options.maxBatchBytes);
        progress.nextIndex += request.entries.size();
        ++progress.inFlight;
        send(to, std::move(request));
    }
}

void Replica::sendHeartbeat(const ReplicaId &to, ReplicaProgress &progress, TimePoint now)
{
    if (progress.answeredSentAt + m_options.maxElectionTimeout < now && !progress.snapshot) {
        // Entries or answers may have been lost, so replication restarts after the last entry that the peer is known to
        // have.
        progress.nextIndex = std::max(progress.matchIndex, m_log.base().index) + 1;
        progress.inFlight = 0;
        progress.pipelining = false;
    }
    progress.lastHeartbeatAt = now;
    // While a snapshot is being sent, the only position known to match in both logs is 0, before the first entry.
    send(to, composeAppend(progress.snapshot ? 0 : progress.nextIndex - 1, now));
}

void Replica::advanceCommit()
{
    std::vector<LogIndex> matched;
    for (const auto &member : m_log.group().members) {
        if (member.voter) {
            matched.push_back(matchedIndex(member.id));
        }
    }
    if (matched.empty()) {
        return;
    }
    std::sort(matched.begin(), matched.end(), std::greater<>());
    const auto index = matched[m_log.group().majority() - 1];
    // As in Raft, an entry of an earlier term is committed only through a later entry of the current term.
    if (index > m_commitIndex && m_log.termAt(index) == m_hardState.term) {
        m_commitIndex = index;
    }
}

void Replica::finishReads(ReplicaOutput &output, TimePoint now)
{
    output.failedReads = std::exchange(m_failedReads, {});
    const auto answeredSentAt = m_pendingReads.empty() ? TimePoint{} : majorityAnsweredSentAt(now);
    while (!m_pendingReads.empty()) {
        const auto &read = m_pendingReads.front();
        const bool leadershipConfirmed = leaseValid(now) || answeredSentAt >= read.requestedAt;
        if (!leadershipConfirmed || m_deliveredIndex < read.index) {
            return;
        }
        output.readyReads.push_back(read.number);
        m_pendingReads.pop_front();
    }
}

TimePoint Replica::majorityAnsweredSentAt(TimePoint now) const
{
    std::vector<TimePoint> answeredTimes;
    for (const auto &member : m_log.group().members) {
        if (!member.voter) {
            continue;
        }
        const auto progress = m_progress.find(member.id);
        answeredTimes.push_back(member.id == m_self                ? now
                                    : progress == m_progress.end() ? TimePoint{}
                                                                   : progress->second.answeredSentAt);
    }
    if (answeredTimes.empty()) {
        return {};
    }
    std::sort(answeredTimes.begin(), answeredTimes.end(), std::greater<>());
    return answeredTimes[m_log.group().majority() - 1];
}

bool Replica::leaseValid(TimePoint now) const
{
    const bool transferRequested = m_transfer && m_transfer->sent;
    return !transferRequested && now < majorityAnsweredSentAt(now) + m_options.leaderLease;
}

} // namespace tamarackcove
