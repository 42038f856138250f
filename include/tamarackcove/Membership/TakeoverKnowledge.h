#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Membership/ReleaseMarks.h"

#include <cstddef>
#include <set>
#include <vector>

namespace tamarackcove {

/// What a candidate learns from its voters of the releases to earlier coordinators.
///
/// An eviction needs the answers of a majority of the entries, so that enough voters with complete marks include one
/// that has released whatever may still be evicted.
/// Thread safety: used on one thread.
class TakeoverKnowledge
{
public:
    /// Forgets what was learnt for another number.
    void begin(FencingNumber number);
    /// `complete` is false for a voter that restarted lately and may have forgotten what it released.
    void noteVoter(FencingNumber number, const EntryId &voter, bool complete,
                   const std::vector<ReleaseMarks::Pair> &released);

    /// Whether everything that an earlier coordinator may still evict is in released().
    [[nodiscard]] bool complete(std::size_t entries) const;
    [[nodiscard]] const std::set<ReleaseMarks::Pair> &released() const;

private:
    FencingNumber m_number;
    std::set<EntryId> m_complete;
    std::set<ReleaseMarks::Pair> m_released;
};

/// How many entries must have answered a release before the adapter may be evicted.
[[nodiscard]] std::size_t releaseQuorum(std::size_t entries);

} // namespace tamarackcove
