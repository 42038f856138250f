#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Consensus/LogEntry.h"

#include <variant>

namespace tamarackcove {

struct VoteRequest
{
    /// A pre-vote asks whether a vote would be granted and changes no state. The term of its message is one above the
    /// current term of the sender.
    bool preVote = false;
    /// The leader requested this election by TimeoutNow, so voters may grant the vote before the lease of that leader
    /// expires.
    bool transfer = false;
    /// Index of the last entry in the log of the candidate.
    LogIndex lastIndex = 0;
    /// Term of that entry.
    Term lastTerm = 0;
};

struct VoteReply
{
    bool preVote = false;
    bool granted = false;
    /// Term of the vote request; the term of the reply message is the current term of the voter.
    Term requestTerm = 0;
};

struct AppendRequest
{
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    /// When the leader sent the request, on its own clock. The reply returns it unchanged; only the leader evaluates
    /// it.
    TimePoint sentAt{};
    /// Number of voters that may still fail before the group loses its majority, as computed by the leader in
    /// Replica::lossesTolerated(); negative if the group has no majority. Followers report this number in their own
    /// status.
    int lossesTolerated = -1;
    std::vector<LogEntryPtr> entries{};
};

struct AppendReply
{
    bool accepted = false;
    /// If accepted, the log up to this index equals the log of the leader and is synced. Otherwise, the leader
    /// continues with the entry after this index.
    LogIndex matchedIndex = 0;
    /// AppendRequest::sentAt of the request that this message answers.
    TimePoint sentAt{};
};

/// Part of a snapshot, sent to a replica that needs entries which the leader has dropped from memory.
struct SnapshotChunk
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    std::chrono::system_clock::time_point lastTime;
    ReplicaGroup group;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string bytes;
    /// See AppendRequest::sentAt.
    TimePoint sentAt{};
};

struct SnapshotReply
{
    LogIndex lastIndex = 0;
    /// Number of bytes received without a gap. SnapshotChunk::totalBytes means that the snapshot is synced, or that the
    /// log already has the entries that the snapshot covers.
    std::uint64_t receivedBytes = 0;
    /// SnapshotChunk::sentAt of the chunk that this message answers.
    TimePoint sentAt{};
};

/// Asks a voter to start an election at once, to take over leadership.
struct TimeoutNow
{
};

/// A message between two replicas, addressed to an identity and not to a host, so that a replica with a new disk
/// ignores messages to its old identity.
struct ReplicaMessage
{
    ReplicaId from;
    ReplicaId to;
    std::string groupId;
    Term term = 0;
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, TimeoutNow> body;
};

} // namespace tamarackcove
