#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Consensus/LogEntry.h"

#include <variant>

namespace tamarackcove {

struct VoteRequest
{
    /// A pre-vote asks whether a vote would be granted and changes no state. Its message carries the term after the
    /// sender's.
    bool preVote = false;
    /// The leader asked for this election, so voters need not wait until its lease has expired.
    bool transfer = false;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
};

struct VoteReply
{
    bool preVote = false;
    bool granted = false;
    /// The term that was voted on; the term of the message is the voter's own.
    Term requestTerm = 0;
};

struct AppendRequest
{
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    /// On the leader's clock; returned unchanged, and only there compared.
    TimePoint sentAt{};
    /// What the leader's status says, for the status of the others.
    int lossesTolerated = -1;
    std::vector<LogEntryPtr> entries{};
};

struct AppendReply
{
    bool accepted = false;
    /// When accepted: up to here the log equals the leader's and is synced. Otherwise: the leader shall go on after
    /// this index.
    LogIndex matchedIndex = 0;
    TimePoint sentAt{};
};

/// A piece of a snapshot for a replica that is too far behind for the leader's log.
struct SnapshotChunk
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    std::chrono::system_clock::time_point lastTime;
    ReplicaGroup group;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string bytes;
    TimePoint sentAt{};
};

struct SnapshotReply
{
    LogIndex lastIndex = 0;
    /// Bytes received without a gap. All of them: the snapshot is synced and loaded.
    std::uint64_t receivedBytes = 0;
    TimePoint sentAt{};
};

/// Asks a voter to start an election at once, because the leader hands over.
struct TimeoutNow
{
};

/// A message between two replicas. It is addressed to an identity, not to a host.
struct ReplicaMessage
{
    ReplicaId from;
    ReplicaId to;
    std::string groupId;
    Term term = 0;
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, TimeoutNow> body;
};

} // namespace tamarackcove
