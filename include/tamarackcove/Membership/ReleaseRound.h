#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <set>

namespace tamarackcove {

enum class ReleaseState {
    /// Entries may still answer, or the view lease of a silent one may still be valid.
    Waiting,
    /// All are released, but the state of the engine must be read from now on, because an entry was silent.
    NeedsEngineState,
    /// No entry uses the adapter on the target, and none can start to.
    MayEvict,
    /// An entry uses it, or the round took too long.
    Refused,
};

/// One eviction handshake of the coordinator with the entries of its zone over one adapter on one target.
///
/// An entry that does not answer may still route there until its view lease ends, and a request that it has sent may
/// still run after that; hence the read of the engine state that must begin after the last such lease.
/// Thread safety: used on one thread.
class ReleaseRound
{
public:
    struct Options
    {
        /// Every entry of the zone, the coordinator's own one included.
        std::set<EntryId> entries;
        /// Fewer answers than this refuse the eviction. A majority of the voters makes every later coordinator learn
        /// of the release from the votes that it needs.
        std::size_t minAnswers = 1;
        /// An entry that has not answered by then counts as silent.
        milliseconds answerTimeout = seconds(1);
        /// The round is refused when it takes longer.
        milliseconds roundTimeout = seconds(6);
    };

    ReleaseRound(Options options, TimePoint now);

    void onAnswer(const EntryId &entry, bool released);
    /// The entry cannot dispatch from this time on, unless its lease is renewed, which the coordinator stops doing
    /// for silent entries. The latest call counts.
    void noteViewLeaseEnd(const EntryId &entry, TimePoint end);
    /// The running requests of the adapter in an engine state that was asked for at this time.
    void noteEngineState(TimePoint askedAt, int running);

    [[nodiscard]] ReleaseState state(TimePoint now) const;
    /// Entries that have not answered within the answer timeout; their view leases must not be renewed.
    [[nodiscard]] std::set<EntryId> silentEntries(TimePoint now) const;

private:
    /// When the last silent entry has lost its lease, or nothing is known of one of them: TimePoint::max().
    [[nodiscard]] TimePoint leasesEnd(TimePoint now) const;

    Options m_options;
    TimePoint m_startedAt;
    bool m_inUse = false;
    std::set<EntryId> m_released;
    std::map<EntryId, TimePoint> m_leaseEnds;
    TimePoint m_idleSince = TimePoint::min();
};

} // namespace tamarackcove
