#include "tamarackcove/Consensus/ReplicaLog.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

ReplicaLog::ReplicaLog(Base base)
    : m_base(std::move(base))
{
}

const ReplicaLog::Base &ReplicaLog::base() const
{
    return m_base;
}

LogIndex ReplicaLog::lastIndex() const
{
    return m_base.index + m_entries.size();
}

Term ReplicaLog::lastTerm() const
{
    return m_entries.empty() ? m_base.term : m_entries.back()->term;
}

std::chrono::system_clock::time_point ReplicaLog::lastTime() const
{
    return m_entries.empty() ? m_base.time : m_entries.back()->time;
}

Term ReplicaLog::termAt(LogIndex index) const
{
    if (index == m_base.index) {
        return m_base.term;
    }
    return index < m_base.index || index > lastIndex() ? 0 : at(index)->term;
}

const LogEntryPtr &ReplicaLog::at(LogIndex index) const
{
    assert(index > m_base.index && index <= lastIndex() && "the entry must be in memory");
    return m_entries[index - m_base.index - 1];
}

std::vector<LogEntryPtr> ReplicaLog::slice(LogIndex first, std::size_t maxBytes) const
{
    // Encoded size of an entry besides its command.
    constexpr std::size_t EntryOverhead = 32;
    std::vector<LogEntryPtr> entries;
    std::size_t bytes = 0;
    for (auto index = first; index <= lastIndex(); ++index) {
        const auto &entry = at(index);
        bytes += entry->command.size() + EntryOverhead;
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

void ReplicaLog::append(LogEntryPtr entry)
{
    assert(entry->index == lastIndex() + 1 && "entries are appended without gaps");
    if (entry->kind == EntryKind::Group) {
        m_groupChanges.push_back(entry->index);
    }
    m_entries.push_back(std::move(entry));
}

void ReplicaLog::truncateAfter(LogIndex last)
{
    assert(last >= m_base.index && "a snapshot is never truncated");
    while (lastIndex() > last) {
        m_entries.pop_back();
    }
    while (!m_groupChanges.empty() && m_groupChanges.back() > last) {
        m_groupChanges.pop_back();
    }
}

void ReplicaLog::compactTo(LogIndex index)
{
    index = std::min(index, lastIndex());
    if (index <= m_base.index) {
        return;
    }
    const auto &last = at(index);
    Base base{.index = index, .term = last->term, .time = last->time, .group = groupAt(index)};
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_base.index));
    m_base = std::move(base);
    std::erase_if(m_groupChanges, [index](LogIndex change) { return change <= index; });
}

const ReplicaGroup &ReplicaLog::group() const
{
    return groupAt(lastIndex());
}

LogIndex ReplicaLog::groupIndex() const
{
    return m_groupChanges.empty() ? m_base.index : m_groupChanges.back();
}

const ReplicaGroup &ReplicaLog::groupAt(LogIndex index) const
{
    const auto after = std::upper_bound(m_groupChanges.begin(), m_groupChanges.end(), index);
    return after == m_groupChanges.begin() ? m_base.group : *at(*std::prev(after))->group;
}

} // namespace tamarackcove
