#include "tamarackcove/Membership/ZoneVoter.h"

#include <algorithm>

namespace tamarackcove {

ZoneVoter::ZoneVoter(TimePoint votesFrom)
    : m_votesFrom(votesFrom)
{
}

static bool sameTerm(const VoteRequest &left, const VoteRequest &right)
{
    return left.candidate == right.candidate && left.session == right.session && left.number == right.number;
}

VoteReply ZoneVoter::request(const VoteRequest &request, TimePoint now)
{
    if (now < m_votesFrom) {
        return VoteReply{.granted = false, .highest = m_highest};
    }
    const bool extends = sameTerm(request, m_promised) && request.number == m_highest;
    const bool isFree = now >= m_promiseEnd;
    if (!extends && (!isFree || request.number <= m_highest)) {
        return VoteReply{.granted = false, .highest = m_highest};
    }
    m_promiseEnd = extends ? std::max(m_promiseEnd, now + request.lease) : now + request.lease;
    if (!extends) {
        m_promisedBefore = m_promised;
        m_highestBefore = m_highest;
    }
    m_promised = request;
    m_highest = request.number;
    return VoteReply{.granted = true, .highest = m_highest};
}

void ZoneVoter::release(const VoteRequest &promised, bool neverUsed)
{
    if (!sameTerm(promised, m_promised)) {
        return;
    }
    m_promiseEnd = TimePoint::min();
    if (neverUsed && m_highest == promised.number) {
        m_promised = m_promisedBefore;
        m_highest = m_highestBefore;
    }
}

void ZoneVoter::noteNumber(FencingNumber number)
{
    m_highest = std::max(m_highest, number);
}

std::optional<VoteRequest> ZoneVoter::promised(TimePoint now) const
{
    if (now >= m_promiseEnd) {
        return std::nullopt;
    }
    return m_promised;
}

TimePoint ZoneVoter::promiseEnd() const
{
    return m_promiseEnd;
}

FencingNumber ZoneVoter::highest() const
{
    return m_highest;
}

} // namespace tamarackcove
