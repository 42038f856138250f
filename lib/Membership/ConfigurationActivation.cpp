#include "tamarackcove/Membership/ConfigurationActivation.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

ConfigurationActivation::ConfigurationActivation(Options options)
    : m_options(std::move(options))
{
}

void ConfigurationActivation::addRevision(Revision revision, TimePoint now)
{
    if (revision <= m_heldRevision) {
        return;
    }
    m_heldRevision = revision;
    m_activationDeadlines.emplace(revision, now + m_options.timeout);
}

void ConfigurationActivation::addRevisionFromControl(Revision revision, TimePoint now)
{
    m_receivedFromControl = true;
    addRevision(revision, now);
}

void ConfigurationActivation::addRevisionFromPeer(Revision revision, TimePoint now)
{
    addRevision(revision, now);
}

void ConfigurationActivation::setPeerRevision(const EntryId &peer, Revision revision)
{
    if (m_options.peers.contains(peer)) {
        m_peerRevisions[peer] = revision;
    }
}

bool ConfigurationActivation::majorityHasRevision(Revision revision) const
{
    const auto entriesWithRevision = 1
        + std::count_if(m_peerRevisions.begin(), m_peerRevisions.end(),
                        [revision](const auto &peer) { return peer.second >= revision; });
    return static_cast<std::size_t>(entriesWithRevision) * 2 > m_options.peers.size() + 1;
}

std::optional<Revision> ConfigurationActivation::takeRevisionToActivate(TimePoint now)
{
    std::optional<Revision> newest;
    for (const auto &[revision, deadline] : m_activationDeadlines) {
        // Each revision includes the changes of the earlier ones, so only the newest that qualifies is returned.
        if (now >= deadline || majorityHasRevision(revision)) {
            newest = revision;
        }
    }
    if (!newest) {
        return std::nullopt;
    }
    m_activationDeadlines.erase(m_activationDeadlines.begin(), m_activationDeadlines.upper_bound(*newest));
    m_activatedRevision = *newest;
    return newest;
}

std::optional<TimePoint> ConfigurationActivation::nextDeadline() const
{
    if (m_activationDeadlines.empty()) {
        return std::nullopt;
    }
    return m_activationDeadlines.begin()->second;
}

bool ConfigurationActivation::enoughPeersHaveRevision() const
{
    // A majority of the entries of the zone has the revision in force; this entry may have been one of them before it
    // restarted. Any half of the entries, rounded up, without this one therefore includes a peer that has the revision.
    // A peer without a revision has restarted itself and does not count.
    const auto entries = m_options.peers.size() + 1;
    const auto peersWithRevision = std::count_if(m_peerRevisions.begin(), m_peerRevisions.end(),
                                                 [](const auto &peer) { return peer.second > Revision(); });
    return !m_options.peers.empty() && static_cast<std::size_t>(peersWithRevision) >= (entries + 1) / 2;
}

std::optional<EntryId> ConfigurationActivation::peerToFetchFrom() const
{
    if (m_receivedFromControl || !enoughPeersHaveRevision()) {
        return std::nullopt;
    }
    const auto newest
        = std::max_element(m_peerRevisions.begin(), m_peerRevisions.end(),
                           [](const auto &left, const auto &right) { return left.second < right.second; });
    if (newest->second <= m_heldRevision) {
        return std::nullopt;
    }
    return newest->first;
}

bool ConfigurationActivation::isRecentEnoughToServe() const
{
    if (m_receivedFromControl) {
        return true;
    }
    return m_heldRevision > Revision() && enoughPeersHaveRevision() && !peerToFetchFrom();
}

Revision ConfigurationActivation::newestRevision() const
{
    return m_heldRevision;
}

} // namespace tamarackcove
