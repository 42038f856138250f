#pragma once

#include "tamarackcove/Consensus/ReplicaMessage.h"

#include <optional>
#include <vector>

namespace tamarackcove {

/// What a replica must not forget besides its log.
struct HardState
{
    Term term = 0;
    ReplicaId votedFor;

    bool operator==(const HardState &) const = default;
};

/// A saved state of the state machine, and where in the log it stands.
struct SnapshotImage
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    std::chrono::system_clock::time_point lastTime;
    ReplicaGroup group;
    std::shared_ptr<const std::string> bytes;
};

/// What must be on the disk before Replica::persisted() is called with this sequence.
struct PersistRequest
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    /// Received from the leader; replaces the whole log and, once synced, the state of the state machine.
    std::optional<SnapshotImage> snapshot{};
    /// In order. The first one replaces what the log on disk holds at its index and after it.
    std::vector<LogEntryPtr> entries{};
};

/// What the owner of a replica does after a step, in any order unless stated.
struct ReplicaOutput
{
    std::vector<ReplicaMessage> messages;
    std::optional<PersistRequest> persist;
    /// To be applied in order, before the finished reads are answered.
    std::vector<LogEntryPtr> committed;
    std::vector<std::uint64_t> readyReads;
    std::vector<std::uint64_t> failedReads;
};

/// What a data folder holds at the start.
struct RecoveredState
{
    ReplicaId self;
    HardState hardState;
    std::optional<SnapshotImage> snapshot;
    /// Entries after the snapshot, without gaps.
    std::vector<LogEntryPtr> entries;
};

} // namespace tamarackcove
