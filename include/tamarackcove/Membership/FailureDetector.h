#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <set>
#include <vector>

namespace tamarackcove {

enum class PeerState {
    Alive,
    /// The own link is silent, but not enough others say the same.
    Slow,
    /// The own link is silent, and so is that of a majority of the other peers.
    Gone,
    /// Every link to the peer's zone is silent.
    Partitioned,
};

/// Decides which peers are gone from heartbeats and from what the other peers report, because one silent link does
/// not tell a dead peer from a dead link.
///
/// Thread safety: used on one thread.
class FailureDetector
{
public:
    struct Options
    {
        /// A link without a message for this long is silent.
        milliseconds silentAfter = milliseconds(1500);
        /// A report of another peer counts for this long.
        milliseconds reportLifetime = seconds(3);
    };

    explicit FailureDetector(Options options);

    /// A new peer counts as silent until it is heard.
    void addPeer(const EntryId &peer, const Zone &zone);
    void heard(const EntryId &peer, TimePoint now);
    /// The reporter's complete list of peers whose links are silent. A reporter that this entry does not hear itself
    /// counts as one that says nothing.
    void report(const EntryId &reporter, std::set<EntryId> silent, TimePoint now);

    /// Unknown peers are Gone.
    [[nodiscard]] PeerState state(const EntryId &peer, TimePoint now) const;
    /// Whether all links to the zone are silent. A zone without peers is not partitioned.
    [[nodiscard]] bool partitioned(const Zone &zone, TimePoint now) const;
    /// Peers whose links to this entry are silent, for the reports to others.
    [[nodiscard]] std::set<EntryId> silentPeers(TimePoint now) const;
    [[nodiscard]] std::vector<EntryId> peers(const Zone &zone) const;

private:
    struct Peer
    {
        Zone zone;
        TimePoint heardAt = TimePoint::min();
        TimePoint reportedAt = TimePoint::min();
        std::set<EntryId> silent;
    };

    [[nodiscard]] bool isSilent(const Peer &peer, TimePoint now) const;

    Options m_options;
    std::map<EntryId, Peer> m_peers;
};

} // namespace tamarackcove
