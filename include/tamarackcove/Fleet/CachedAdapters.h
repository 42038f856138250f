#pragma once

#include "tamarackcove/Fleet/ServerRecord.h"

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// The adapters of which a server is assumed to keep a copy in its memory: those that it has held most recently.
///
/// Thread safety: used on one thread.
class CachedAdapters
{
public:
    /// Adds an adapter as the one held most recently. Removes those held least recently beyond `capacity`.
    void add(const AdapterKey &adapter, std::size_t capacity);
    /// Replaces all adapters; the least recently held one comes first.
    void assign(const std::vector<AdapterKey> &adapters);
    /// Adds adapters that were held before all others, the least recently held one first.
    void addEarlier(const std::vector<AdapterKey> &adapters, std::size_t capacity);
    [[nodiscard]] bool contains(const AdapterKey &adapter) const;

private:
    /// The least recently held one comes first.
    std::list<AdapterKey> m_adapters;
    std::unordered_map<AdapterKey, std::list<AdapterKey>::iterator> m_positions;
};

} // namespace tamarackcove
