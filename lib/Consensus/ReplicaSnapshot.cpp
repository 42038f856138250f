#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

void Replica::snapshotSaved(SnapshotImage image)
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
    // A chunk is sent once the one before is acknowledged, and again when that takes too long.
    if (progress.lastChunk != TimePoint{} && now < progress.lastChunk + m_options.maxElectionTimeout) {
        return;
    }
    const auto &image = *progress.snapshot;
    progress.lastChunk = now;
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
    progress.contact = std::max(progress.contact, reply.sentAt);
    if (!progress.snapshot || progress.snapshot->lastIndex != reply.lastIndex) {
        return;
    }
    if (reply.receivedBytes < progress.snapshot->bytes->size()) {
        progress.snapshotOffset = reply.receivedBytes;
        progress.lastChunk = {};
        return;
    }
    progress.matched = std::max(progress.matched, reply.lastIndex);
    progress.next = progress.matched + 1;
    progress.inFlight = 0;
    progress.snapshot.reset();
    advanceCommit();
}

void Replica::onSnapshotChunk(const ReplicaMessage &message, const SnapshotChunk &chunk, TimePoint now)
{
    followLeader(message, now);
    SnapshotReply reply{.lastIndex = chunk.lastIndex, .receivedBytes = chunk.totalBytes, .sentAt = chunk.sentAt};
    if (chunk.lastIndex <= m_commitIndex || m_log.termAt(chunk.lastIndex) == chunk.lastTerm) {
        // The log already holds what the snapshot covers.
        m_commitIndex = std::max(m_commitIndex, chunk.lastIndex);
        sendOncePersisted(message.from, reply);
        return;
    }
    if (m_incomingIndex != chunk.lastIndex || m_incomingTerm != chunk.lastTerm) {
        m_incoming.clear();
        m_incomingIndex = chunk.lastIndex;
        m_incomingTerm = chunk.lastTerm;
    }
    if (chunk.offset == m_incoming.size()) {
        m_incoming += chunk.bytes;
    }
    if (m_incoming.size() < chunk.totalBytes) {
        reply.receivedBytes = m_incoming.size();
        send(message.from, reply);
        return;
    }
    install(chunk);
    sendOncePersisted(message.from, reply);
}

void Replica::install(const SnapshotChunk &chunk)
{
    m_snapshot = SnapshotImage{.lastIndex = chunk.lastIndex,
                               .lastTerm = chunk.lastTerm,
                               .lastTime = chunk.lastTime,
                               .group = chunk.group,
                               .bytes = std::make_shared<const std::string>(std::exchange(m_incoming, {}))};
    m_incomingIndex = 0;
    m_unsavedSnapshot = m_snapshot;
    m_log
        = ReplicaLog({.index = chunk.lastIndex, .term = chunk.lastTerm, .time = chunk.lastTime, .group = chunk.group});
    m_commitIndex = chunk.lastIndex;
    m_deliveredIndex = chunk.lastIndex;
    m_firstUnsaved = 0;
    // Nothing of the new log is on the disk until the request that carries the snapshot is.
    m_persistedIndex = 0;
    for (auto &persist : m_inFlightPersists) {
        persist.lastIndex = 0;
    }
    updateVoterRole();
}

} // namespace tamarackcove
