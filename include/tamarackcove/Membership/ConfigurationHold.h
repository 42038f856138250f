#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <optional>
#include <set>

namespace tamarackcove {

/// Decides when a configuration revision may be in force on this entry, and whether a restarted entry has one that
/// is new enough.
///
/// A revision is put in force only after a majority of the zone holds it, so that an entry which restarts without a
/// disk finds it again at its peers while the zone is cut off from the control group.
/// Thread safety: used on one thread.
class ConfigurationHold
{
public:
    struct Options
    {
        EntryId self;
        /// The other entries of the zone.
        std::set<EntryId> peers;
        /// Peers that do not answer delay a revision no longer than this.
        milliseconds timeout = milliseconds(1500);
    };

    explicit ConfigurationHold(Options options);

    /// This entry holds the revision, from the control group.
    void holdFromControl(Revision revision, TimePoint now);
    /// This entry holds the revision, from a peer.
    void holdFromPeer(Revision revision, TimePoint now);
    /// What a peer says it holds; 0 for none. A peer that restarted may hold less than before.
    void peerHolds(const EntryId &peer, Revision revision);

    /// The newest revision that may be in force and was not returned before.
    [[nodiscard]] std::optional<Revision> takeActivated(TimePoint now);
    /// When takeActivated() may return a value without another call, or nothing when no revision waits.
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    /// The peer whose configuration this entry should fetch: enough peers have said what they hold, and it has the
    /// newest, which this entry lacks. Nothing once the control group has sent one, because it sends the rest too.
    [[nodiscard]] std::optional<EntryId> fetchFrom() const;
    /// Whether this entry's configuration came from the control group, or is the newest of enough peers.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] Revision held() const;

private:
    [[nodiscard]] bool enoughPeersKnown() const;
    [[nodiscard]] bool majorityHolds(Revision revision) const;
    void hold(Revision revision, TimePoint now);

    Options m_options;
    Revision m_held;
    Revision m_active;
    bool m_fromControl = false;
    /// Held revisions that are not in force, with the end of their wait.
    std::map<Revision, TimePoint> m_waiting;
    std::map<EntryId, Revision> m_peers;
};

} // namespace tamarackcove
