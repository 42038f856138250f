#include "tamarackcove/Membership/FailureDetector.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace tamarackcove {

FailureDetector::FailureDetector(Options options)
    : m_options(options)
{
}

void FailureDetector::addPeer(const EntryId &peer, const Zone &zone)
{
    m_peers[peer].zone = zone;
}

void FailureDetector::heard(const EntryId &peer, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.heardAt = now;
    }
}

void FailureDetector::report(const EntryId &reporter, std::set<EntryId> silent, TimePoint now)
{
    const auto found = m_peers.find(reporter);
    if (found != m_peers.end()) {
        found->second.silent = std::move(silent);
        found->second.reportedAt = now;
    }
}

bool FailureDetector::isSilent(const Peer &peer, TimePoint now) const
{
    // The first comparison keeps the subtraction in range.
    return peer.heardAt == TimePoint::min() || now - peer.heardAt > m_options.silentAfter;
}

PeerState FailureDetector::state(const EntryId &peer, TimePoint now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return PeerState::Gone;
    }
    const auto &subject = found->second;
    if (!isSilent(subject, now)) {
        return PeerState::Alive;
    }
    if (partitioned(subject.zone, now)) {
        return PeerState::Partitioned;
    }
    std::size_t others = 0;
    std::size_t agreeing = 0;
    for (const auto &[id, other] : m_peers) {
        if (id == peer || other.zone != subject.zone) {
            continue;
        }
        ++others;
        const bool reports = !isSilent(other, now) && other.reportedAt != TimePoint::min()
            && now - other.reportedAt <= m_options.reportLifetime;
        if (reports && other.silent.contains(peer)) {
            ++agreeing;
        }
    }
    return agreeing * 2 > others ? PeerState::Gone : PeerState::Slow;
}

bool FailureDetector::partitioned(const Zone &zone, TimePoint now) const
{
    std::size_t members = 0;
    for (const auto &[id, peer] : m_peers) {
        if (peer.zone != zone) {
            continue;
        }
        if (!isSilent(peer, now)) {
            return false;
        }
        ++members;
    }
    return members > 0;
}

std::set<EntryId> FailureDetector::silentPeers(TimePoint now) const
{
    std::set<EntryId> silent;
    for (const auto &[id, peer] : m_peers) {
        if (isSilent(peer, now)) {
            silent.insert(id);
        }
    }
    return silent;
}

std::vector<EntryId> FailureDetector::peers(const Zone &zone) const
{
    std::vector<EntryId> members;
    for (const auto &[id, peer] : m_peers) {
        if (peer.zone == zone) {
            members.push_back(id);
        }
    }
    return members;
}

} // namespace tamarackcove
