#include "tamarackcove/Membership/ReleaseMarks.h"

namespace tamarackcove {

ReleaseMarks::ReleaseMarks(TimePoint startedAt, milliseconds lifetime)
    : m_startedAt(startedAt)
    , m_lifetime(lifetime)
{
}

void ReleaseMarks::mark(const Pair &pair, FencingNumber releasedTo, TimePoint now)
{
    m_marks[pair] = Mark{.releasedTo = releasedTo, .end = now + m_lifetime};
}

void ReleaseMarks::clear(const Pair &pair, FencingNumber coordinator)
{
    const auto found = m_marks.find(pair);
    if (found != m_marks.end() && found->second.releasedTo <= coordinator) {
        m_marks.erase(found);
    }
}

std::vector<ReleaseMarks::Pair> ReleaseMarks::active(TimePoint now) const
{
    std::vector<Pair> pairs;
    for (const auto &[pair, mark] : m_marks) {
        if (now < mark.end) {
            pairs.push_back(pair);
        }
    }
    return pairs;
}

bool ReleaseMarks::complete(TimePoint now) const
{
    return now - m_startedAt >= m_lifetime;
}

void ReleaseMarks::tick(TimePoint now)
{
    std::erase_if(m_marks, [now](const auto &mark) { return now >= mark.second.end; });
}

} // namespace tamarackcove
