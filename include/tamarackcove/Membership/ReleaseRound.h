#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <set>

namespace tamarackcove {

enum class ReleaseState {
    /// Entries may still answer, or the view lease of a silent entry may still be valid.
    Waiting,
    /// No entry can dispatch requests for the adapter to the target any more, but at least one entry has not answered:
    /// the engine state must be requested now or later, to show that no request of that entry is running.
    NeedsEngineState,
    /// No entry uses the adapter on the target or can start to use it.
    MayEvict,
    /// An entry uses the adapter, too few entries have released it, or the round timed out.
    Refused,
};

/// Handshake of the coordinator with the entries of its zone before it evicts one adapter from one target. An entry
/// that releases the adapter stops sending requests for it to the target.
///
/// An entry that does not answer may route requests to the adapter on that target until its view lease ends, which is
/// the time up to which the entry may route by the view that the coordinator sent. Such a request may run longer than
/// the lease. After the last view lease of a silent entry, the engine state must therefore be read to confirm that no
/// request for the adapter is running.
/// Thread safety: used on one thread.
class ReleaseRound
{
public:
    struct Options
    {
        /// Every entry of the zone, including the coordinator itself.
        std::set<EntryId> entries;
        /// Number of entries that must release the adapter; with fewer, the eviction is refused. If a majority of the
        /// voters releases the adapter, every later coordinator learns of the release from the votes of its election.
        std::size_t minReleases = 1;
        /// An entry that has not released the adapter this long after the start of the round counts as silent.
        milliseconds answerTimeout = seconds(1);
        /// The eviction is refused if the round takes longer than this.
        milliseconds roundTimeout = seconds(6);
    };

    ReleaseRound(Options options, TimePoint now);

    void onAnswer(const EntryId &entry, bool released);
    /// Sets when the view lease of the entry ends, after which the entry cannot dispatch. Replaces the time set before;
    /// the coordinator does not renew the leases of silent entries.
    void setViewLeaseEnd(const EntryId &entry, TimePoint end);
    /// Records how many requests for the adapter were running on the target, according to the engine state that was
    /// requested at `askedAt`.
    void recordEngineState(TimePoint askedAt, int running);

    [[nodiscard]] ReleaseState state(TimePoint now) const;
    /// Entries that have not released the adapter within the answer timeout; their view leases must not be renewed.
    [[nodiscard]] std::set<EntryId> silentEntries(TimePoint now) const;

private:
    /// When the last view lease of a silent entry ends; TimePoint::max() if the end of one is unknown, and
    /// TimePoint::min() if no entry is silent.
    [[nodiscard]] TimePoint lastSilentLeaseEnd(TimePoint now) const;

    Options m_options;
    TimePoint m_startedAt;
    bool m_usedByAnEntry = false;
    std::set<EntryId> m_releasedBy;
    std::map<EntryId, TimePoint> m_viewLeaseEnds;
    /// When the latest engine state without running requests for the adapter was requested.
    TimePoint m_lastIdleStateAskedAt = TimePoint::min();
};

} // namespace tamarackcove
