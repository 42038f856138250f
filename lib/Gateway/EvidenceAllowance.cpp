#include "tamarackcove/Gateway/EvidenceAllowance.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

void EvidenceAllowance::setEntries(std::size_t entries)
{
    assert(entries > 0 && "this entry is one of the entries that share the items");
    m_entries = static_cast<double>(entries);
    m_saved = std::min(m_saved, std::max(MinSavedItems, MaxSavedSeconds * ItemsPerSecond / m_entries));
}

void EvidenceAllowance::refill(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    const auto rate = ItemsPerSecond / m_entries;
    m_saved = std::min(std::max(MinSavedItems, MaxSavedSeconds * rate), m_saved + rate * elapsed.count());
}

std::size_t EvidenceAllowance::available(TimePoint now)
{
    refill(now);
    return m_saved < 1 ? 0 : static_cast<std::size_t>(m_saved);
}

TimePoint EvidenceAllowance::availableAt(TimePoint now)
{
    if (available(now) > 0) {
        return now;
    }
    const std::chrono::duration<double> missing((1 - m_saved) * m_entries / ItemsPerSecond);
    return now + std::chrono::ceil<milliseconds>(missing);
}

void EvidenceAllowance::use(std::size_t items, TimePoint now)
{
    refill(now);
    m_saved -= static_cast<double>(items);
}

} // namespace tamarackcove
