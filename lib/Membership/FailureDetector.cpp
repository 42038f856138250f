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

void FailureDetector::recordMessage(const EntryId &peer, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.lastMessageAt = now;
    }
}

void FailureDetector::recordReport(const EntryId &reporter, std::set<EntryId> silent, TimePoint now)
{
    const auto found = m_peers.find(reporter);
    if (found != m_peers.end()) {
        found->second.reportedSilent = std::move(silent);
        found->second.lastReportAt = now;
    }
}

bool FailureDetector::isSilent(const Peer &peer, TimePoint now) const
{
    // The subtraction would overflow for TimePoint::min().
    return peer.lastMessageAt == TimePoint::min() || now - peer.lastMessageAt > m_options.silentAfter;
}

PeerState FailureDetector::state(const EntryId &peer, TimePoint now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return PeerState::Dead;
    }
    const auto &subject = found->second;
    if (!isSilent(subject, now)) {
        return PeerState::Alive;
    }
    if (isZonePartitioned(subject.zone, now)) {
        return PeerState::Partitioned;
    }
    std::size_t otherPeers = 0;
    std::size_t confirmations = 0;
    for (const auto &[id, other] : m_peers) {
        if (id == peer || other.zone != subject.zone) {
            continue;
        }
        ++otherPeers;
        const bool reportValid = !isSilent(other, now) && other.lastReportAt != TimePoint::min()
            && now - other.lastReportAt <= m_options.reportLifetime;
        if (reportValid && other.reportedSilent.contains(peer)) {
            ++confirmations;
        }
    }
    return confirmations * 2 > otherPeers ? PeerState::Dead : PeerState::Suspected;
}

bool FailureDetector::isZonePartitioned(const Zone &zone, TimePoint now) const
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
