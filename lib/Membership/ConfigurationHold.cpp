#include "tamarackcove/Membership/ConfigurationHold.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

ConfigurationHold::ConfigurationHold(Options options)
    : m_options(std::move(options))
{
}

void ConfigurationHold::hold(Revision revision, TimePoint now)
{
    if (revision <= m_held) {
        return;
    }
    m_held = revision;
    m_waiting.emplace(revision, now + m_options.timeout);
}

void ConfigurationHold::holdFromControl(Revision revision, TimePoint now)
{
    m_fromControl = true;
    hold(revision, now);
}

void ConfigurationHold::holdFromPeer(Revision revision, TimePoint now)
{
    hold(revision, now);
}

void ConfigurationHold::peerHolds(const EntryId &peer, Revision revision)
{
    if (m_options.peers.contains(peer)) {
        m_peers[peer] = revision;
    }
}

bool ConfigurationHold::majorityHolds(Revision revision) const
{
    const auto holding = 1 + std::count_if(m_peers.begin(), m_peers.end(), [revision](const auto &peer) {
                             return peer.second >= revision;
                         });
    return static_cast<std::size_t>(holding) * 2 > m_options.peers.size() + 1;
}

std::optional<Revision> ConfigurationHold::takeActivated(TimePoint now)
{
    std::optional<Revision> newest;
    for (const auto &[revision, deadline] : m_waiting) {
        // Peers that hold a later revision hold what this one changed, so the newest that qualifies takes the rest
        // along.
        if (now >= deadline || majorityHolds(revision)) {
            newest = revision;
        }
    }
    if (!newest) {
        return std::nullopt;
    }
    m_waiting.erase(m_waiting.begin(), m_waiting.upper_bound(*newest));
    m_active = *newest;
    return newest;
}

std::optional<TimePoint> ConfigurationHold::nextDeadline() const
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    return m_waiting.begin()->second;
}

bool ConfigurationHold::enoughPeersKnown() const
{
    // A revision in force is held by a majority of the zone, perhaps by this entry before it restarted. Half of all
    // entries, rounded up, then include at least one other that holds it. Peers that hold nothing have just restarted
    // themselves and cannot tell.
    const auto entries = m_options.peers.size() + 1;
    const auto known
        = std::count_if(m_peers.begin(), m_peers.end(), [](const auto &peer) { return peer.second > Revision(); });
    return !m_options.peers.empty() && static_cast<std::size_t>(known) >= (entries + 1) / 2;
}

std::optional<EntryId> ConfigurationHold::fetchFrom() const
{
    if (m_fromControl || !enoughPeersKnown()) {
        return std::nullopt;
    }
    const auto newest = std::max_element(
        m_peers.begin(), m_peers.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    if (newest->second <= m_held) {
        return std::nullopt;
    }
    return newest->first;
}

bool ConfigurationHold::ready() const
{
    if (m_fromControl) {
        return true;
    }
    return m_held > Revision() && enoughPeersKnown() && !fetchFrom();
}

Revision ConfigurationHold::held() const
{
    return m_held;
}

} // namespace tamarackcove
