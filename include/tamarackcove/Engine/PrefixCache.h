#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace tamarackcove {

/// Counts which prompt prefixes of an adapter were seen lately; each prompt is split into blocks of fixed length.
///
/// Thread safety: used on one thread.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t blocks);

    /// Returns how many of the prompt's tokens are not cached, and caches them. A token is four bytes here.
    std::size_t admit(std::string_view adapter, std::string_view prompt);
    void clear();

    [[nodiscard]] std::uint64_t hits() const;
    [[nodiscard]] std::uint64_t misses() const;

private:
    std::size_t m_capacity;
    std::uint64_t m_hits = 0;
    std::uint64_t m_misses = 0;
    /// Least recently used last.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace tamarackcove
