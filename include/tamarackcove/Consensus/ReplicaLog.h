#pragma once

#include "tamarackcove/Consensus/LogEntry.h"

#include <deque>
#include <vector>

namespace tamarackcove {

/// The log entries that a replica has in memory, and the group that is in effect at each of them.
///
/// Thread safety: used on one thread.
class ReplicaLog
{
public:
    /// Position and time of the last entry before those in memory, and the group in effect at that entry.
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

    /// Term of the entry at an index; 0 if the index is before the base or after the last entry.
    [[nodiscard]] Term termAt(LogIndex index) const;
    /// The entry at this index. Precondition: base().index < index <= lastIndex().
    [[nodiscard]] const LogEntryPtr &at(LogIndex index) const;
    /// Entries from `first` on, as many as fit in `maxBytes`, but at least one if there is one.
    [[nodiscard]] std::vector<LogEntryPtr> slice(LogIndex first, std::size_t maxBytes) const;

    /// Adds an entry at the end of the log. Precondition: entry->index == lastIndex() + 1.
    void append(LogEntryPtr entry);
    /// Removes the entries after `last`. Precondition: last >= base().index.
    void truncateAfter(LogIndex last);
    /// Drops the entries up to and including this index from memory. Does nothing if the index is not after the base.
    void compactTo(LogIndex index);

    /// The group in effect after the last entry, committed or not.
    [[nodiscard]] const ReplicaGroup &group() const;
    /// Index of the entry that set group(), or of the base.
    [[nodiscard]] LogIndex groupIndex() const;
    [[nodiscard]] const ReplicaGroup &groupAt(LogIndex index) const;

private:
    Base m_base;
    std::deque<LogEntryPtr> m_entries;
    /// Ascending indexes of the entries of kind EntryKind::Group.
    std::vector<LogIndex> m_groupChanges;
};

} // namespace tamarackcove
