#pragma once

#include "tamarackcove/Consensus/LogEntry.h"

#include <deque>
#include <vector>

namespace tamarackcove {

/// The entries of a replica that are in memory, and the group that is in effect at each of them.
///
/// Thread safety: used on one thread.
class ReplicaLog
{
public:
    /// An index and term that come before the first entry in memory.
    struct Base
    {
        LogIndex index = 0;
        Term term = 0;
        std::chrono::system_clock::time_point time;
        ReplicaGroup group;
    };

    ReplicaLog() = default;
    explicit ReplicaLog(Base base);

    [[nodiscard]] const Base &base() const;
    [[nodiscard]] LogIndex lastIndex() const;
    [[nodiscard]] Term lastTerm() const;
    [[nodiscard]] std::chrono::system_clock::time_point lastTime() const;

    /// Term at an index, 0 when it is before the base or after the last entry.
    [[nodiscard]] Term termAt(LogIndex index) const;
    /// Precondition: base().index < index <= lastIndex().
    [[nodiscard]] const LogEntryPtr &at(LogIndex index) const;
    /// Entries from this index on, at least one if there is one, then until the commands exceed the byte limit.
    [[nodiscard]] std::vector<LogEntryPtr> slice(LogIndex first, std::size_t maxBytes) const;

    /// Precondition: entry->index == lastIndex() + 1.
    void append(LogEntryPtr entry);
    /// Removes the entries after this index. Precondition: last >= base().index.
    void truncateAfter(LogIndex last);
    /// Drops the entries up to this index from memory. Does nothing when it is not after the base.
    void compactTo(LogIndex index);

    /// The group in effect after the last entry, committed or not.
    [[nodiscard]] const ReplicaGroup &group() const;
    [[nodiscard]] LogIndex groupIndex() const;
    [[nodiscard]] const ReplicaGroup &groupAt(LogIndex index) const;

private:
    Base m_base;
    std::deque<LogEntryPtr> m_entries;
    /// Indexes of the entries that change the group.
    std::vector<LogIndex> m_groupChanges;
};

} // namespace tamarackcove
