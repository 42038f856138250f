#include "tamarackcove/Membership/ReleaseMarks.h"

namespace tamarackcove {

ReleaseMarks::ReleaseMarks(milliseconds lifetime)
    : m_lifetime(lifetime)
{
}

void ReleaseMarks::mark(const Pair &pair, FencingNumber releasedTo, TimePoint now)
{
    auto &mark = m_marks[pair];
    // A mark of an earlier coordinator may be passed on late; it must not hide that of a later one.
    if (releasedTo >= mark.releasedTo) {
        mark = Mark{.releasedTo = releasedTo, .end = now + m_lifetime};
    }
}

void ReleaseMarks::clear(const Pair &pair, FencingNumber releasedTo)
{
    const auto found = m_marks.find(pair);
    if (found != m_marks.end() && found->second.releasedTo == releasedTo) {
        m_marks.erase(found);
    }
}

bool ReleaseMarks::blocks(const Pair &pair, FencingNumber number, TimePoint now) const
{
    const auto found = m_marks.find(pair);
    return found != m_marks.end() && found->second.releasedTo != number && now < found->second.end;
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

std::vector<ReleaseMarks::Pair> ReleaseMarks::takeEnded(TimePoint now)
{
    std::vector<Pair> ended;
    std::erase_if(m_marks, [&](const auto &mark) {
        if (now < mark.second.end) {
            return false;
        }
        ended.push_back(mark.first);
        return true;
    });
    return ended;
}

} // namespace tamarackcove
