#include "tamarackcove/Membership/ZoneVoter.h"

#include <algorithm>

namespace tamarackcove {

ZoneVoter::ZoneVoter(TimePoint firstVoteAt)
    : m_firstVoteAt(firstVoteAt)
{
}

static bool isSameCandidacy(const ZoneVoteRequest &left, const ZoneVoteRequest &right)
{
    return left.candidate == right.candidate && left.session == right.session && left.number == right.number;
}

ZoneVoteReply ZoneVoter::handleRequest(const ZoneVoteRequest &request, TimePoint now)
{
    if (now < m_firstVoteAt) {
        return ZoneVoteReply{.granted = false, .highest = m_highestSeen};
    }
    const bool extendsPromise = isSameCandidacy(request, m_promised) && request.number == m_highestSeen;
    const bool promiseExpired = now >= m_promiseEnd;
    if (!extendsPromise && (!promiseExpired || request.number <= m_highestSeen)) {
        return ZoneVoteReply{.granted = false, .highest = m_highestSeen};
    }
    m_promiseEnd = extendsPromise ? std::max(m_promiseEnd, now + request.lease) : now + request.lease;
    if (!extendsPromise) {
        m_previousPromise = m_promised;
        m_previousHighestSeen = m_highestSeen;
    }
    m_promised = request;
    m_highestSeen = request.number;
    return ZoneVoteReply{.granted = true, .highest = m_highestSeen};
}

void ZoneVoter::handleRelease(const ZoneVoteRequest &promised, bool leaseNeverHeld)
{
    if (!isSameCandidacy(promised, m_promised)) {
        return;
    }
    m_promiseEnd = TimePoint::min();
    if (leaseNeverHeld && m_highestSeen == promised.number) {
        m_promised = m_previousPromise;
        m_highestSeen = m_previousHighestSeen;
    }
}

void ZoneVoter::recordFencingNumber(FencingNumber number)
{
    m_highestSeen = std::max(m_highestSeen, number);
}

std::optional<ZoneVoteRequest> ZoneVoter::currentPromise(TimePoint now) const
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
    return m_highestSeen;
}

} // namespace tamarackcove
