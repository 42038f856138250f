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
/// Election term; each has at most one leader.
using Term = std::uint64_t;

enum class EntryKind {
    Command,
    /// Appended by a new leader, so that it can commit entries of earlier terms.
    NoOp,
    /// A change of the group; in effect on each replica as soon as it is in its log.
    Group,
};

/// One entry of the replicated log.
struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::NoOp;
    /// The leader's wall clock when it appended the entry; never less than in the entry before.
    std::chrono::system_clock::time_point time{};
    std::string command{};
    std::optional<ReplicaGroup> group{};
};

/// Entries never change once created, so the log, messages and disk writes share them.
using LogEntryPtr = std::shared_ptr<const LogEntry>;

} // namespace tamarackcove
