#include "tamarackcove/Engine/PrefixCache.h"

#include "tamarackcove/Base/Hash.h"

namespace tamarackcove {

static constexpr std::size_t BytesPerToken = 4;
static constexpr std::size_t TokensPerBlock = 16;
static constexpr std::size_t BytesPerBlock = BytesPerToken * TokensPerBlock;

PrefixCache::PrefixCache(std::size_t blocks)
    : m_capacity(blocks)
{
}

std::size_t PrefixCache::insert(std::string_view adapter, std::string_view prompt)
{
    std::size_t cachedBytes = 0;
    bool prefixCached = true;
    for (std::size_t end = BytesPerBlock; end <= prompt.size(); end += BytesPerBlock) {
        const auto block = hash64(prompt.substr(0, end), hash64(adapter));
        const auto found = m_blocks.find(block);
        if (found != m_blocks.end()) {
            m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, found->second);
            ++m_hits;
            cachedBytes += prefixCached ? BytesPerBlock : 0;
            continue;
        }
        prefixCached = false;
        ++m_misses;
        m_lruOrder.push_front(block);
        m_blocks.emplace(block, m_lruOrder.begin());
        if (m_blocks.size() > m_capacity) {
            m_blocks.erase(m_lruOrder.back());
            m_lruOrder.pop_back();
        }
    }
    return (prompt.size() - cachedBytes + BytesPerToken - 1) / BytesPerToken;
}

void PrefixCache::clear()
{
    m_lruOrder.clear();
    m_blocks.clear();
}

std::uint64_t PrefixCache::hits() const
{
    return m_hits;
}

std::uint64_t PrefixCache::misses() const
{
    return m_misses;
}

} // namespace tamarackcove
