#pragma once

#include "tamarackcove/Consensus/ReplicaMessage.h"

#include <optional>
#include <vector>

namespace tamarackcove {

/// State besides the log that must survive a restart; the hard state of Raft.
struct HardState
{
    Term term = 0;
    ReplicaId votedFor;

    bool operator==(const HardState &) const = default;
};

/// A saved state of the state machine, with the position of the last log entry that was applied to it.
struct SnapshotImage
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    std::chrono::system_clock::time_point lastTime;
    ReplicaGroup group;
    std::shared_ptr<const std::string> bytes;
};

/// State that must be synced to the disk before Replica::markPersisted() is called with `sequence`.
struct PersistRequest
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    /// A snapshot received from the leader. It replaces the whole log and, once synced, the state of the state machine.
    std::optional<SnapshotImage> snapshot{};
    /// Consecutive entries. Entries on the disk at the index of the first one and after it are discarded.
    std::vector<LogEntryPtr> entries{};
};

/// Work for the owner of a replica after each call, in any order unless stated otherwise.
struct ReplicaOutput
{
    std::vector<ReplicaMessage> messages;
    std::optional<PersistRequest> persist;
    /// Committed entries, to be applied to the state machine in this order and before the reads in readyReads are
    /// answered.
    std::vector<LogEntryPtr> committed;
    /// Numbers of the read barriers that are reached: once `committed` is applied, the state machine is recent enough
    /// for these reads.
    std::vector<std::uint64_t> readyReads;
    /// Numbers of read barriers that failed because this replica lost leadership.
    std::vector<std::uint64_t> failedReads;
};

/// Content of a data folder, read at the start of a replica.
struct RecoveredState
{
    ReplicaId self;
    HardState hardState;
    std::optional<SnapshotImage> snapshot;
    /// Entries after the snapshot, without gaps.
    std::vector<LogEntryPtr> entries;
};

} // namespace tamarackcove
