#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/ZoneOptions.h"
#include "tamarackcove/Residency/LoadDemand.h"
#include "tamarackcove/Targets/Announcement.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace tamarackcove {

class PeerLink;
class PeerNetwork;
class PriorReleases;
class ZoneFollower;
struct ZoneSummaryMessage;

/// One term of the zone coordinator, from winning the zone lease to losing it: maintains the target registry, publishes
/// the zone view, plans adapter residency and sends orders to engines.
///
/// Its supervisor owns the tasks "publish", "plan" and "permit", one task for each target, one for each order in
/// progress, and one for each other zone.
/// Thread safety: used on one thread.
class CoordinatorTask
{
public:
    struct Hooks
    {
        /// Whether this entry holds the zone lease of this term at `now`.
        std::function<bool(TimePoint now)> holdsLease;
        /// Called with the highest fencing number that a target reports to have received in an order.
        std::function<void(FencingNumber number)> recordFencingNumber;
        /// Entries of this zone that the failure detector considers alive, including this entry.
        std::function<std::vector<EntryId>()> aliveEntries;
    };

    /// Starts the tasks of the term and sends the whole view to all connected entries of the zone.
    /// Precondition: all references outlive the object.
    CoordinatorTask(const boost::asio::any_io_executor &executor, const ZoneOptions &options,
                    const ZoneHooks &zoneHooks, FencingNumber number, const PriorReleases &priorReleases,
                    ZoneFollower &follower, PeerNetwork &network, Hooks hooks);
    ~CoordinatorTask();
    CoordinatorTask(const CoordinatorTask &) = delete;
    CoordinatorTask &operator=(const CoordinatorTask &) = delete;

    /// Runs until cancelled; stops all tasks of the term before returning.
    boost::asio::awaitable<void> run();

    /// Adds the target to the registry or updates it there.
    void announce(const Announcement &announcement);
    /// Records the load figures of targets that entries report. `loads` holds triples of target index, running and
    /// waiting requests.
    void applyLoads(const std::vector<std::uint32_t> &loads);
    /// Records the demand for an adapter that an entry reports. The coordinator plans adapter loads at once when
    /// requests wait for the adapter at that entry.
    void noteDemand(const EntryId &from, const LoadDemand &demand);
    /// Passes on the answer of an entry to a release request of this term.
    void onReleaseReply(const EntryId &from, std::uint64_t round, bool released);
    /// Called when an entry reports that the target refused or dropped connections; reads the state of the target
    /// again.
    void reportUnreachable(const TargetId &target);

    /// Sends the whole view to an entry of the zone.
    void sendView(PeerLink &link);
    /// Returns whether a heartbeat to the entry may renew its view lease. If so, `now` is recorded as the renewal time.
    bool renewViewLease(const EntryId &entry, TimePoint now);
    /// Sends the whole zone summary to the coordinator of another zone, and then each change until the link is removed.
    void addRemoteCoordinator(PeerLink &link);
    void removeRemoteCoordinator(PeerLink &link);

    [[nodiscard]] FencingNumber number() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
