#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace tamarackcove {

/// Simulates a prefix cache with LRU eviction: remembers the recent prompt prefixes of each adapter, in blocks of fixed
/// length.
///
/// Thread safety: used on one thread.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t blocks);

    /// Caches the full blocks of a prompt. Returns how many tokens of the prompt were not cached before; a token is
    /// counted as four bytes.
    std::size_t insert(std::string_view adapter, std::string_view prompt);
    void clear();

    [[nodiscard]] std::uint64_t hits() const;
    [[nodiscard]] std::uint64_t misses() const;

private:
    std::size_t m_capacity;
    std::uint64_t m_hits = 0;
    std::uint64_t m_misses = 0;
    /// Block hashes, the least recently used last.
    std::list<std::uint64_t> m_lruOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace tamarackcove
