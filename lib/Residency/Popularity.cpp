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

/// Converts a decaying sum of arrivals to a rate: at a constant rate the sum converges to rate * halfLife / ln 2.
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
    auto &usage = m_usage[adapter];
    const auto elapsed = now - usage.updatedAt;
    usage.fastArrivals = usage.fastArrivals * decay(elapsed, m_options.fastHalfLife) + count;
    usage.slowArrivals = usage.slowArrivals * decay(elapsed, m_options.slowHalfLife) + count;
    usage.totalArrivals += count;
    usage.updatedAt = now;
    if (count > 0) {
        usage.lastUse = now;
    }
}

double Popularity::rateOf(const Usage &usage, TimePoint now) const
{
    const auto elapsed = now - usage.updatedAt;
    const auto fastArrivals = usage.fastArrivals * decay(elapsed, m_options.fastHalfLife);
    auto expected = perSecond(usage.slowArrivals * decay(elapsed, m_options.slowHalfLife), m_options.slowHalfLife);
    if (fastArrivals >= m_options.fastMinArrivals) {
        expected = std::max(expected, perSecond(fastArrivals, m_options.fastHalfLife));
    }
    // For Poisson arrivals at the expected rate, no arrival in a period in which `missed` were due has the probability
    // exp(-missed).
    const auto missed = expected * FloatSeconds(now - usage.lastUse - m_options.reportInterval).count();
    return expected * std::exp(-std::max(0.0, missed - 1.0));
}

double Popularity::rate(const AdapterRef &adapter, TimePoint now) const
{
    const auto found = m_usage.find(adapter);
    return found == m_usage.end() ? 0.0 : rateOf(found->second, now);
}

TimePoint Popularity::lastUse(const AdapterRef &adapter) const
{
    const auto found = m_usage.find(adapter);
    return found == m_usage.end() ? TimePoint() : found->second.lastUse;
}

double Popularity::useCount(const AdapterRef &adapter) const
{
    const auto found = m_usage.find(adapter);
    return found == m_usage.end() ? 0.0 : found->second.totalArrivals;
}

void Popularity::removeIdle(TimePoint now)
{
    std::erase_if(m_usage, [this, now](const auto &entry) {
        const auto &usage = entry.second;
        const auto slow = usage.slowArrivals * decay(now - usage.updatedAt, m_options.slowHalfLife);
        return perSecond(slow, m_options.slowHalfLife) < m_options.minTrackedRate;
    });
}

std::size_t Popularity::size() const
{
    return m_usage.size();
}

} // namespace tamarackcove
