#include "tamarackcove/Fleet/DemandTable.h"

#include <algorithm>

namespace tamarackcove {

DemandTable::DemandTable(Options options)
    : m_options(options)
{
}

void DemandTable::put(const EntryId &entry, const std::vector<Demand> &demands, TimePoint now)
{
    for (const auto &demand : demands) {
        putOne(entry, demand, now);
    }
}

void DemandTable::replace(const EntryId &entry, const std::vector<Demand> &demands, TimePoint now)
{
    const auto previous = std::exchange(m_adaptersOfEntries[entry], {});
    put(entry, demands, now);
    for (const auto &adapter : previous) {
        const bool remains = std::any_of(demands.begin(), demands.end(),
                                         [&](const Demand &demand) { return demand.adapter == adapter; });
        if (!remains) {
            removeOne(entry, adapter);
        }
    }
}

void DemandTable::removeEntry(const EntryId &entry)
{
    const auto found = m_adaptersOfEntries.find(entry);
    if (found == m_adaptersOfEntries.end()) {
        return;
    }
    for (const auto &adapter : found->second) {
        removeOne(entry, adapter);
    }
    m_adaptersOfEntries.erase(found);
}

void DemandTable::clear()
{
    m_items.clear();
    m_adaptersOfEntries.clear();
    m_grown.clear();
    m_refresh.clear();
}

DemandTable::Demand DemandTable::total(const AdapterKey &adapter, const Item &item)
{
    Demand demand{.adapter = adapter, .waiting = item.waiting, .version = 0, .failed = 0, .zone = item.zone};
    for (const auto &[entry, part] : item.entries) {
        demand.version = std::max(demand.version, part.version);
        demand.failed = std::max(demand.failed, part.failed);
    }
    return demand;
}

void DemandTable::putOne(const EntryId &entry, const Demand &demand, TimePoint now)
{
    auto &item = m_items[demand.adapter];
    auto &part = item.entries[entry];
    item.waiting += demand.waiting - part.waiting;
    item.zone = demand.zone;
    part = {.waiting = demand.waiting, .version = demand.version, .failed = demand.failed};
    auto &adapters = m_adaptersOfEntries[entry];
    if (std::find(adapters.begin(), adapters.end(), demand.adapter) == adapters.end()) {
        adapters.push_back(demand.adapter);
    }
    if (item.isDue) {
        return;
    }
    const bool hasGrown = item.waiting > item.consideredWaiting || demand.failed > item.consideredFailed;
    if (hasGrown) {
        m_grown.push_back(demand.adapter);
    } else if (now >= item.consideredAt + m_options.refreshInterval) {
        m_refresh.push_back(demand.adapter);
    } else {
        return;
    }
    item.isDue = true;
}

void DemandTable::removeOne(const EntryId &entry, const AdapterKey &adapter)
{
    const auto found = m_items.find(adapter);
    if (found == m_items.end()) {
        return;
    }
    auto &item = found->second;
    const auto part = item.entries.find(entry);
    if (part == item.entries.end()) {
        return;
    }
    item.waiting -= part->second.waiting;
    item.entries.erase(part);
    if (item.entries.empty()) {
        m_items.erase(found);
    }
}

int DemandTable::waiting(const AdapterKey &adapter) const
{
    const auto found = m_items.find(adapter);
    return found == m_items.end() ? 0 : found->second.waiting;
}

bool DemandTable::awaits(const EntryId &entry, const AdapterKey &adapter) const
{
    const auto found = m_items.find(adapter);
    return found != m_items.end() && found->second.entries.contains(entry);
}

std::vector<DemandTable::Demand> DemandTable::takeDue(std::size_t count, TimePoint now)
{
    std::vector<Demand> due;
    while (due.size() < count && hasDue()) {
        AdapterKey adapter;
        if (!m_grown.empty()) {
            adapter = std::move(m_grown.back());
            m_grown.pop_back();
        } else {
            adapter = std::move(m_refresh.front());
            m_refresh.pop_front();
        }
        const auto found = m_items.find(adapter);
        if (found == m_items.end() || !found->second.isDue) {
            continue;
        }
        auto &item = found->second;
        auto demand = total(adapter, item);
        item.isDue = false;
        item.consideredWaiting = demand.waiting;
        item.consideredFailed = demand.failed;
        item.consideredAt = now;
        due.push_back(std::move(demand));
    }
    return due;
}

bool DemandTable::hasDue() const
{
    return !m_grown.empty() || !m_refresh.empty();
}

std::size_t DemandTable::size() const
{
    return m_items.size();
}

} // namespace tamarackcove
