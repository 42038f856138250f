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

std::size_t PrefixCache::admit(std::string_view adapter, std::string_view prompt)
{
    std::size_t cachedBytes = 0;
    bool prefixHolds = true;
    for (std::size_t end = BytesPerBlock; end <= prompt.size(); end += BytesPerBlock) {
        const auto block = hash64(prompt.substr(0, end), hash64(adapter));
        const auto found = m_blocks.find(block);
        if (found != m_blocks.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            ++m_hits;
            cachedBytes += prefixHolds ? BytesPerBlock : 0;
            continue;
        }
        prefixHolds = false;
        ++m_misses;
        m_order.push_front(block);
        m_blocks.emplace(block, m_order.begin());
        if (m_blocks.size() > m_capacity) {
            m_blocks.erase(m_order.back());
            m_order.pop_back();
        }
    }
    return (prompt.size() - cachedBytes + BytesPerToken - 1) / BytesPerToken;
}

void PrefixCache::clear()
{
    m_order.clear();
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
