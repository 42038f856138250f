#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <optional>
#include <set>

namespace tamarackcove {

/// Decides when a configuration revision may be in force on this entry, and whether the configuration of a restarted
/// entry is recent enough to serve with.
///
/// A revision is put in force only once a majority of the entries of the zone has it. Entries keep no configuration on
/// disk, so a restarted entry can then fetch the revision from its peers while the zone cannot reach the control group.
/// Thread safety: used on one thread.
class ConfigurationActivation
{
public:
    struct Options
    {
        EntryId self;
        /// The other entries of the zone.
        std::set<EntryId> peers;
        /// Time from the arrival of a revision until it is put in force even if no majority has it, because peers may
        /// be down.
        milliseconds timeout = milliseconds(1500);
    };

    explicit ConfigurationActivation(Options options);

    /// Records that this entry has received the revision from the control group.
    void addRevisionFromControl(Revision revision, TimePoint now);
    /// Records that this entry has fetched the revision from a peer.
    void addRevisionFromPeer(Revision revision, TimePoint now);
    /// Records the revision that a peer reports to have; 0 for none. It may be lower than before if the peer restarted.
    void setPeerRevision(const EntryId &peer, Revision revision);

    /// Returns the newest revision that may be put in force and has not been returned before.
    [[nodiscard]] std::optional<Revision> takeRevisionToActivate(TimePoint now);
    /// When the timeout of the oldest waiting revision ends, so that takeRevisionToActivate() returns a value. Empty if
    /// no revision is waiting.
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    /// The peer from which this entry should fetch the configuration: the peer with the newest revision, once peers
    /// with a revision are at least half of the entries of the zone. Empty if this entry already has that revision, or
    /// has received any revision from the control group, which sends the later ones as well.
    [[nodiscard]] std::optional<EntryId> peerToFetchFrom() const;
    /// Whether this entry may serve: it has a configuration from the control group or, once peers with a revision are
    /// at least half of the entries of the zone, the newest of their revisions.
    [[nodiscard]] bool isRecentEnoughToServe() const;
    /// The newest revision that this entry has, in force or not; 0 for none.
    [[nodiscard]] Revision newestRevision() const;

private:
    [[nodiscard]] bool enoughPeersHaveRevision() const;
    [[nodiscard]] bool majorityHasRevision(Revision revision) const;
    void addRevision(Revision revision, TimePoint now);

    Options m_options;
    Revision m_heldRevision;
    Revision m_activatedRevision;
    bool m_receivedFromControl = false;
    /// Revisions that this entry has and that are not in force, with the time at which their timeout ends.
    std::map<Revision, TimePoint> m_activationDeadlines;
    std::map<EntryId, Revision> m_peerRevisions;
};

} // namespace tamarackcove
