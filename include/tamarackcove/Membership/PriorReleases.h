#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Membership/ReleaseRecords.h"

#include <cstddef>
#include <set>
#include <vector>

namespace tamarackcove {

/// The adapters that entries have released to earlier coordinators, as a candidate collects them from its voters. An
/// entry that releases an adapter stops sending requests for it to one target, so that the coordinator may unload it
/// there.
///
/// An eviction needs releases from releaseQuorum() entries. Once the voters with complete records are so many that
/// every such quorum includes one of them, their records contain each adapter that an earlier coordinator may still
/// evict.
/// Thread safety: used on one thread.
class PriorReleases
{
public:
    /// Starts to collect releases for a candidacy with this fencing number; discards those collected for another
    /// candidacy.
    void startCandidacy(FencingNumber number);
    /// Adds the releases that a voter reports. `complete` is false for a voter that restarted recently, because it has
    /// lost the records of its releases before the restart.
    void addVoterReleases(FencingNumber number, const EntryId &voter, bool complete,
                          const std::vector<ReleaseRecords::Pair> &released);

    /// Whether released() contains every adapter that an earlier coordinator may still evict, in a zone with this many
    /// entries.
    [[nodiscard]] bool complete(std::size_t entries) const;
    [[nodiscard]] const std::set<ReleaseRecords::Pair> &released() const;

private:
    FencingNumber m_number;
    std::set<EntryId> m_votersWithAllReleases;
    std::set<ReleaseRecords::Pair> m_released;
};

/// How many of the entries of a zone must release an adapter before it may be evicted.
[[nodiscard]] std::size_t releaseQuorum(std::size_t entries);

} // namespace tamarackcove
