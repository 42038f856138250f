#pragma once

#include "tamarackcove/Consensus/ReplicaGroup.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace tamarackcove {

/// Position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
/// Election term; at most one leader is elected in each.
using Term = std::uint64_t;

enum class EntryKind {
    Command,
    /// Appended by a new leader, so that it can commit entries of earlier terms.
    NoOp,
    /// A change of the group. Each replica uses the new group as soon as the entry is in its log, committed or not.
    Group,
};

/// One entry of the replicated log.
struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::NoOp;
    /// Wall clock of the leader when it appended the entry; never earlier than the time of the preceding entry.
    std::chrono::system_clock::time_point time{};
    std::string command{};
    std::optional<ReplicaGroup> group{};
};

/// Entries are immutable, so the log, messages and disk writes share them.
using LogEntryPtr = std::shared_ptr<const LogEntry>;

} // namespace tamarackcove
