#include "tamarackcove/Fleet/StoreLoads.h"

#include <algorithm>

namespace tamarackcove {

/// Below this share of the window, loads are not late because of their number.
static constexpr double CrowdedShare = 0.7;
static constexpr double ShrinkFactor = 0.85;

StoreLoads::StoreLoads(Options options)
    : m_options(options)
{
}

void StoreLoads::setServers(std::size_t servers)
{
    const auto start = m_options.perServer * static_cast<double>(servers);
    if (start > m_start) {
        m_window += start - m_start;
        m_start = start;
    }
}

bool StoreLoads::full(std::size_t inTransit) const
{
    return static_cast<double>(inTransit) >= m_window;
}

double StoreLoads::window() const
{
    return m_window;
}

void StoreLoads::inTime(std::size_t inTransit, TimePoint now)
{
    const bool crowded = static_cast<double>(inTransit) >= CrowdedShare * m_window;
    if (crowded && now >= m_shrunkAt + m_options.reaction) {
        m_window = std::min(m_options.mostShare * m_start, m_window + 1 / m_window);
    }
}

void StoreLoads::late(milliseconds overdue, std::size_t inTransit, TimePoint now)
{
    const bool crowded = static_cast<double>(inTransit) >= CrowdedShare * m_window;
    if (!crowded || overdue < m_options.tolerance || now < m_shrunkAt + m_options.reaction) {
        return;
    }
    m_shrunkAt = now;
    m_window = std::max(m_options.leastShare * m_start, m_window * ShrinkFactor);
}

} // namespace tamarackcove
