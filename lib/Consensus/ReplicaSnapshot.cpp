#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

void Replica::recordSavedSnapshot(SnapshotImage image)
{
    assert(image.lastIndex <= m_deliveredIndex && "a snapshot holds applied entries only");
    if (m_snapshot && m_snapshot->lastIndex >= image.lastIndex) {
        return;
    }
    const auto keepFrom = image.lastIndex - std::min(image.lastIndex, m_options.trailingEntries);
    m_snapshot = std::move(image);
    m_log.compactTo(keepFrom);
}

void Replica::sendChunk(const ReplicaId &to, ReplicaProgress &progress, TimePoint now)
{
    // One chunk is in flight at a time. A chunk that is not acknowledged within the maximum election timeout is resent.
    if (progress.lastChunkAt != TimePoint{} && now < progress.lastChunkAt + m_options.maxElectionTimeout) {
        return;
    }
    const auto &image = *progress.snapshot;
    progress.lastChunkAt = now;
    send(to,
         SnapshotChunk{.lastIndex = image.lastIndex,
                       .lastTerm = image.lastTerm,
                       .lastTime = image.lastTime,
                       .group = image.group,
                       .offset = progress.snapshotOffset,
                       .totalBytes = image.bytes->size(),
                       .bytes = image.bytes->substr(progress.snapshotOffset, m_options.snapshotChunkBytes),
                       .sentAt = now});
}

void Replica::onSnapshotReply(const ReplicaMessage &message, const SnapshotReply &reply)
{
    const auto found = m_progress.find(message.from);
    if (role() != ReplicaRole::Leader || found == m_progress.end()) {
        return;
    }
    auto &progress = found->second;
    progress.answeredSentAt = std::max(progress.answeredSentAt, reply.sentAt);
    if (!progress.snapshot || progress.snapshot->lastIndex != reply.lastIndex) {
        return;
    }
    if (reply.receivedBytes < progress.snapshot->bytes->size()) {
        progress.snapshotOffset = reply.receivedBytes;
        progress.lastChunkAt = {};
        return;
    }
    progress.matchIndex = std::max(progress.matchIndex, reply.lastIndex);
    progress.nextIndex = progress.matchIndex + 1;
    progress.inFlight = 0;
    progress.snapshot.reset();
    advanceCommit();
}

void Replica::onSnapshotChunk(const ReplicaMessage &message, const SnapshotChunk &chunk, TimePoint now)
{
    followLeader(message, now);
    SnapshotReply reply{.lastIndex = chunk.lastIndex, .receivedBytes = chunk.totalBytes, .sentAt = chunk.sentAt};
    if (chunk.lastIndex <= m_commitIndex || m_log.termAt(chunk.lastIndex) == chunk.lastTerm) {
        // The log already contains the entries that the snapshot covers.
        m_commitIndex = std::max(m_commitIndex, chunk.lastIndex);
        sendOncePersisted(message.from, reply);
        return;
    }
    if (m_incomingSnapshotIndex != chunk.lastIndex || m_incomingSnapshotTerm != chunk.lastTerm) {
        m_incomingSnapshot.clear();
        m_incomingSnapshotIndex = chunk.lastIndex;
        m_incomingSnapshotTerm = chunk.lastTerm;
    }
    if (chunk.offset == m_incomingSnapshot.size()) {
        m_incomingSnapshot += chunk.bytes;
    }
    if (m_incomingSnapshot.size() < chunk.totalBytes) {
        reply.receivedBytes = m_incomingSnapshot.size();
        send(message.from, reply);
        return;
    }
    installSnapshot(chunk);
    sendOncePersisted(message.from, reply);
}

void Replica::installSnapshot(const SnapshotChunk &chunk)
{
    m_snapshot = SnapshotImage{.lastIndex = chunk.lastIndex,
                               .lastTerm = chunk.lastTerm,
                               .lastTime = chunk.lastTime,
                               .group = chunk.group,
                               .bytes = std::make_shared<const std::string>(std::exchange(m_incomingSnapshot, {}))};
    m_incomingSnapshotIndex = 0;
    m_unpersistedSnapshot = m_snapshot;
    m_log
        = ReplicaLog({.index = chunk.lastIndex, .term = chunk.lastTerm, .time = chunk.lastTime, .group = chunk.group});
    m_commitIndex = chunk.lastIndex;
    m_deliveredIndex = chunk.lastIndex;
    m_firstUnpersistedIndex = 0;
    // No part of the new log is on the disk until the persist request with the snapshot completes.
    m_persistedIndex = 0;
    for (auto &persist : m_inFlightPersists) {
        persist.lastIndex = 0;
    }
    updateVoterRole();
}

} // namespace tamarackcove
