#include "tamarackcove/Residency/Popularity.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace tamarackcove {

using FloatSeconds = std::chrono::duration<double>;

static double decay(Duration elapsed, milliseconds halfLife)
{
    return std::exp2(-FloatSeconds(elapsed) / FloatSeconds(halfLife));
}

/// A decaying sum of arrivals at a constant rate settles at rate * halfLife / ln 2.
static double perSecond(double decayedArrivals, milliseconds halfLife)
{
    return decayedArrivals * std::numbers::ln2 / FloatSeconds(halfLife).count();
}

Popularity::Popularity(Options options)
    : m_options(options)
{
}

void Popularity::noteArrivals(const AdapterRef &adapter, int count, TimePoint now)
{
    auto &use = m_uses[adapter];
    const auto elapsed = now - use.updatedAt;
    use.fastArrivals = use.fastArrivals * decay(elapsed, m_options.fastHalfLife) + count;
    use.slowArrivals = use.slowArrivals * decay(elapsed, m_options.slowHalfLife) + count;
    use.total += count;
    use.updatedAt = now;
    if (count > 0) {
        use.lastUse = now;
    }
}

double Popularity::rateOf(const Use &use, TimePoint now) const
{
    const auto elapsed = now - use.updatedAt;
    const auto fastArrivals = use.fastArrivals * decay(elapsed, m_options.fastHalfLife);
    auto expected = perSecond(use.slowArrivals * decay(elapsed, m_options.slowHalfLife), m_options.slowHalfLife);
    if (fastArrivals >= m_options.fastMinArrivals) {
        expected = std::max(expected, perSecond(fastArrivals, m_options.fastHalfLife));
    }
    // With arrivals at this rate, a silence in which `missed` were due has the probability exp(-missed).
    const auto missed = expected * FloatSeconds(now - use.lastUse - m_options.reportInterval).count();
    return expected * std::exp(-std::max(0.0, missed - 1.0));
}

double Popularity::rate(const AdapterRef &adapter, TimePoint now) const
{
    const auto found = m_uses.find(adapter);
    return found == m_uses.end() ? 0.0 : rateOf(found->second, now);
}

TimePoint Popularity::lastUse(const AdapterRef &adapter) const
{
    const auto found = m_uses.find(adapter);
    return found == m_uses.end() ? TimePoint() : found->second.lastUse;
}

double Popularity::useCount(const AdapterRef &adapter) const
{
    const auto found = m_uses.find(adapter);
    return found == m_uses.end() ? 0.0 : found->second.total;
}

void Popularity::forgetIdle(TimePoint now)
{
    std::erase_if(m_uses, [this, now](const auto &entry) {
        const auto &use = entry.second;
        const auto slow = use.slowArrivals * decay(now - use.updatedAt, m_options.slowHalfLife);
        return perSecond(slow, m_options.slowHalfLife) < m_options.forgetBelow;
    });
}

std::size_t Popularity::size() const
{
    return m_uses.size();
}

} // namespace tamarackcove
