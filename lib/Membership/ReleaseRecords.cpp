#include "tamarackcove/Membership/ReleaseRecords.h"

namespace tamarackcove {

ReleaseRecords::ReleaseRecords(TimePoint startedAt, milliseconds lifetime)
    : m_startedAt(startedAt)
    , m_lifetime(lifetime)
{
}

void ReleaseRecords::recordRelease(const Pair &pair, FencingNumber releasedTo, TimePoint now)
{
    m_records[pair] = Record{.releasedTo = releasedTo, .expiresAt = now + m_lifetime};
}

void ReleaseRecords::clear(const Pair &pair, FencingNumber coordinator)
{
    const auto found = m_records.find(pair);
    if (found != m_records.end() && found->second.releasedTo <= coordinator) {
        m_records.erase(found);
    }
}

std::vector<ReleaseRecords::Pair> ReleaseRecords::activeReleases(TimePoint now) const
{
    std::vector<Pair> pairs;
    for (const auto &[pair, record] : m_records) {
        if (now < record.expiresAt) {
            pairs.push_back(pair);
        }
    }
    return pairs;
}

bool ReleaseRecords::isComplete(TimePoint now) const
{
    return now - m_startedAt >= m_lifetime;
}

void ReleaseRecords::tick(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &record) { return now >= record.second.expiresAt; });
}

} // namespace tamarackcove
