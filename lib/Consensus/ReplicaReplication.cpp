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
    // What lies before the base is committed, so it equals the leader's log.
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
    const bool termPersisted = !m_hardStateDirty && m_hardStateSequence <= m_persistedSequence;
    if (request.entries.empty() && termPersisted) {
        // A heartbeat is answered at once: the leader's lease must not depend on the duration of a sync.
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
            if (m_firstUnsaved > entry->index) {
                m_firstUnsaved = 0;
            }
        }
        if (m_firstUnsaved == 0) {
            m_firstUnsaved = entry->index;
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
    progress.contact = std::max(progress.contact, reply.sentAt);
    if (!reply.accepted) {
        progress.next = std::max(progress.matched, std::min(reply.matchedIndex, m_log.lastIndex())) + 1;
        progress.inFlight = 0;
        progress.pipelining = false;
        return;
    }
    progress.matched = std::max(progress.matched, reply.matchedIndex);
    progress.next = std::max(progress.next, progress.matched + 1);
    progress.inFlight = progress.matched + 1 == progress.next ? 0 : std::max(0, progress.inFlight - 1);
    progress.pipelining = true;
    progress.caughtUp = progress.caughtUp || progress.matched >= m_catchUpIndex;
    advanceCommit();
    continueTransfer(now);
}

void Replica::sendAppends(TimePoint now)
{
    for (auto &[id, progress] : m_progress) {
        if (progress.next <= m_log.base().index && !progress.snapshot) {
            assert(m_snapshot && "entries are dropped only behind a snapshot");
            progress.snapshot = std::make_shared<const SnapshotImage>(*m_snapshot);
            progress.snapshotOffset = 0;
            progress.lastChunk = {};
        }
        if (progress.snapshot) {
            sendChunk(id, progress, now);
        } else {
            sendEntries(id, progress, now);
        }
        if (now >= std::max(progress.lastHeartbeat, progress.contact) + m_options.heartbeatInterval) {
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
    while (progress.next <= m_log.lastIndex() && progress.inFlight < limit) {
        auto request = composeAppend(progress.next - 1, now);
        request.entries = m_log.slice(progress.next, m_options.maxBatchBytes);
        progress.next += request.entries.size();
        ++progress.inFlight;
        send(to, std::move(request));
    }
}

void Replica::sendHeartbeat(const ReplicaId &to, ReplicaProgress &progress, TimePoint now)
{
    if (progress.contact + m_options.maxElectionTimeout < now && !progress.snapshot) {
        // Answers may have been lost; once the peer is back, start from what it certainly has.
        progress.next = std::max(progress.matched, m_log.base().index) + 1;
        progress.inFlight = 0;
        progress.pipelining = false;
    }
    progress.lastHeartbeat = now;
    // While a snapshot is on its way the two logs have no known common entry but the empty one.
    send(to, composeAppend(progress.snapshot ? 0 : progress.next - 1, now));
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
    // An entry of an earlier term is committed only together with one of this term.
    if (index > m_commitIndex && m_log.termAt(index) == m_hardState.term) {
        m_commitIndex = index;
    }
}

void Replica::finishReads(ReplicaOutput &output, TimePoint now)
{
    output.failedReads = std::exchange(m_failedReads, {});
    const auto contact = m_reads.empty() ? TimePoint{} : majorityContact(now);
    while (!m_reads.empty()) {
        const auto &read = m_reads.front();
        const bool stillLeads = leaseValid(now) || contact >= read.requestedAt;
        if (!stillLeads || m_deliveredIndex < read.index) {
            return;
        }
        output.readyReads.push_back(read.number);
        m_reads.pop_front();
    }
}

TimePoint Replica::majorityContact(TimePoint now) const
{
    std::vector<TimePoint> contacts;
    for (const auto &member : m_log.group().members) {
        if (!member.voter) {
            continue;
        }
        const auto progress = m_progress.find(member.id);
        contacts.push_back(member.id == m_self                ? now
                               : progress == m_progress.end() ? TimePoint{}
                                                              : progress->second.contact);
    }
    if (contacts.empty()) {
        return {};
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[m_log.group().majority() - 1];
}

bool Replica::leaseValid(TimePoint now) const
{
    const bool handingOver = m_transfer && m_transfer->sent;
    return !handingOver && now < majorityContact(now) + m_options.leaderLease;
}

} // namespace tamarackcove
