#include "tamarackcove/Fleet/CachedAdapters.h"

namespace tamarackcove {

void CachedAdapters::add(const AdapterKey &adapter, std::size_t capacity)
{
    const auto found = m_positions.find(adapter);
    if (found != m_positions.end()) {
        m_adapters.splice(m_adapters.end(), m_adapters, found->second);
    } else {
        m_positions[adapter] = m_adapters.insert(m_adapters.end(), adapter);
    }
    while (m_adapters.size() > capacity) {
        m_positions.erase(m_adapters.front());
        m_adapters.pop_front();
    }
}

void CachedAdapters::assign(const std::vector<AdapterKey> &adapters)
{
    m_adapters.clear();
    m_positions.clear();
    for (const auto &adapter : adapters) {
        add(adapter, adapters.size());
    }
}

void CachedAdapters::addEarlier(const std::vector<AdapterKey> &adapters, std::size_t capacity)
{
    const auto later = std::exchange(m_adapters, {});
    m_positions.clear();
    for (const auto &adapter : adapters) {
        add(adapter, capacity);
    }
    for (const auto &adapter : later) {
        add(adapter, capacity);
    }
}

bool CachedAdapters::contains(const AdapterKey &adapter) const
{
    return m_positions.contains(adapter);
}

} // namespace tamarackcove
