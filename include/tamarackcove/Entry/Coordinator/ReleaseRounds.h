#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/ZoneOptions.h"
#include "tamarackcove/Membership/ReleaseRound.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace tamarackcove {

struct ReleaseMessage;

/// Prepares evictions in one coordinator term: asks every entry of the zone to release an adapter on a target (to start
/// no more requests with it there), and stops the renewal of the view leases of entries that do not answer.
///
/// Thread safety: used on one thread.
class ReleaseRounds
{
public:
    struct Hooks
    {
        /// Sends the message to all other connected entries of the zone.
        std::function<void(const ReleaseMessage &message)> broadcast;
        /// Asks this entry to release the adapter on the target; returns whether the entry did.
        std::function<bool(const TargetId &target, const AdapterRef &adapter)> releaseLocally;
    };
    /// Asks the engine how many requests that use the adapter are running; std::nullopt when the engine does not
    /// answer.
    using CountRunningRequests = std::function<boost::asio::awaitable<std::optional<int>>()>;

    /// Precondition: options outlives the object.
    ReleaseRounds(const ZoneOptions &options, FencingNumber number, TimePoint termStart, Hooks hooks);
    ~ReleaseRounds();

    /// Asks the entries of the zone, this entry first, to release the adapter on the target. Returns true when no entry
    /// uses the adapter there and no entry can start to use it.
    boost::asio::awaitable<bool> releaseAdapter(TargetId target, AdapterRef adapter,
                                                CountRunningRequests countRunningRequests);
    /// Records the answer of an entry to a release request. Ignores answers to requests that have ended.
    void onReply(const EntryId &from, std::uint64_t round, bool released);

    /// Returns whether a heartbeat to the entry may renew its view lease: not while it has left a release
    /// request unanswered for longer than the answer timeout. If so, `now` is recorded as the renewal time.
    bool renewViewLease(const EntryId &entry, TimePoint now);

private:
    struct ActiveRound;

    [[nodiscard]] TimePoint viewLeaseEnd(const EntryId &entry) const;

    const ZoneOptions &m_options;
    FencingNumber m_number;
    TimePoint m_termStart;
    Hooks m_hooks;
    std::set<EntryId> m_entries;
    std::map<EntryId, TimePoint> m_viewLeaseRenewedAt;
    std::map<std::uint64_t, ActiveRound *> m_activeRounds;
    std::uint64_t m_lastRoundId = 0;
};

} // namespace tamarackcove
