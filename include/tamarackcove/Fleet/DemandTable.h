#pragma once

#include "tamarackcove/Fleet/ServerRecord.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// The adapters that requests of entries wait for, for each entry and in total, and which of them the planner considers
/// next. An adapter is considered again when more requests wait for it, and otherwise at intervals, however many
/// entries ask for it and however often they report.
///
/// Thread safety: used on one thread.
class DemandTable
{
public:
    struct Options
    {
        /// Time after which an adapter that requests still wait for is considered again.
        milliseconds refreshInterval{200};
    };
    /// The requests that wait for one adapter.
    struct Demand
    {
        AdapterKey adapter;
        /// Number of requests of all entries.
        int waiting = 0;
        /// The highest version that one of them asks for.
        std::uint64_t version = 0;
        /// The largest number of servers that have failed one of them.
        int failed = 0;
        /// Zone of the entry that has reported last.
        Zone zone;
    };

    explicit DemandTable(Options options);

    /// Adds or replaces demands of one entry; the zone of each is that of the entry.
    void put(const EntryId &entry, const std::vector<Demand> &demands, TimePoint now);
    /// Replaces all demands of one entry.
    void replace(const EntryId &entry, const std::vector<Demand> &demands, TimePoint now);
    void removeEntry(const EntryId &entry);
    void clear();

    /// Number of requests of all entries that wait for the adapter.
    [[nodiscard]] int waiting(const AdapterKey &adapter) const;
    /// Whether requests of this entry wait for the adapter.
    [[nodiscard]] bool awaits(const EntryId &entry, const AdapterKey &adapter) const;
    /// At most `count` demands that the planner considers now: those that have grown first, the latest ones of these
    /// before the earlier ones, because under a backlog only the latest can still be met in time.
    [[nodiscard]] std::vector<Demand> takeDue(std::size_t count, TimePoint now);
    /// Whether takeDue() may return a demand.
    [[nodiscard]] bool hasDue() const;
    /// Number of adapters that requests wait for.
    [[nodiscard]] std::size_t size() const;

private:
    struct EntryDemand
    {
        int waiting = 0;
        std::uint64_t version = 0;
        int failed = 0;
    };
    struct Item
    {
        /// Demand of each entry that has requests waiting.
        std::map<EntryId, EntryDemand> entries;
        int waiting = 0;
        Zone zone;
        /// As of the last time that the planner considered the adapter.
        int consideredWaiting = 0;
        int consideredFailed = 0;
        TimePoint consideredAt;
        /// Whether m_grown or m_refresh lists the adapter.
        bool isDue = false;
    };
    using Items = std::unordered_map<AdapterKey, Item>;

    void putOne(const EntryId &entry, const Demand &demand, TimePoint now);
    void removeOne(const EntryId &entry, const AdapterKey &adapter);
    [[nodiscard]] static Demand total(const AdapterKey &adapter, const Item &item);

    Options m_options;
    Items m_items;
    std::map<EntryId, std::vector<AdapterKey>> m_adaptersOfEntries;
    /// Adapters for which more requests wait than when they were last considered, the latest last.
    std::vector<AdapterKey> m_grown;
    /// Other adapters that are due, the earliest first.
    std::deque<AdapterKey> m_refresh;
};

} // namespace tamarackcove
