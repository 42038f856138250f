#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <set>
#include <vector>

namespace tamarackcove {

enum class PeerState {
    Alive,
    /// The link from this entry to the peer is silent, but no majority of the other peers in the zone of the peer
    /// reports a silent link to it.
    Suspected,
    /// The links to the peer from this entry and from a majority of the other peers in the zone of the peer are silent.
    Dead,
    /// All links from this entry to the zone of the peer are silent.
    Partitioned,
};

/// Detects failed peers from heartbeats and from the reports of the other peers: a single silent link cannot tell a
/// failed peer from a failed link.
///
/// Thread safety: used on one thread.
class FailureDetector
{
public:
    struct Options
    {
        /// A link is silent when no message has arrived on it for longer than this time.
        milliseconds silentAfter = milliseconds(1500);
        /// How long a peer's report of silent links is valid, counted from the arrival of the report.
        milliseconds reportLifetime = seconds(3);
    };

    explicit FailureDetector(Options options);

    /// Adds a peer; it counts as silent until its first message arrives.
    void addPeer(const EntryId &peer, const Zone &zone);
    /// Records that a message of the peer arrived.
    void recordMessage(const EntryId &peer, TimePoint now);
    /// Records the complete list of peers whose links to the reporter are silent; this list replaces the previous one
    /// of the reporter. The list is ignored while the link from this entry to the reporter is silent.
    void recordReport(const EntryId &reporter, std::set<EntryId> silent, TimePoint now);

    /// Returns Dead for an unknown peer.
    [[nodiscard]] PeerState state(const EntryId &peer, TimePoint now) const;
    /// Whether the links to all peers in the zone are silent. False for a zone without peers.
    [[nodiscard]] bool isZonePartitioned(const Zone &zone, TimePoint now) const;
    /// Peers whose links to this entry are silent; this entry reports them to the other peers.
    [[nodiscard]] std::set<EntryId> silentPeers(TimePoint now) const;
    /// All peers in the zone, whatever their state.
    [[nodiscard]] std::vector<EntryId> peers(const Zone &zone) const;

private:
    struct Peer
    {
        Zone zone;
        TimePoint lastMessageAt = TimePoint::min();
        TimePoint lastReportAt = TimePoint::min();
        std::set<EntryId> reportedSilent;
    };

    [[nodiscard]] bool isSilent(const Peer &peer, TimePoint now) const;

    Options m_options;
    std::map<EntryId, Peer> m_peers;
};

} // namespace tamarackcove
