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
class TakeoverKnowledge;
class ZoneFollower;
struct ZoneSummaryMessage;

/// One term of the zone coordinator, from winning the lease to losing it: keeps the registry of targets, publishes
/// the view, plans residency and sends orders.
///
/// Its supervisor owns the tasks "publish", "plan", "permit", one for each target, one for each order under way, and
/// one for each other zone.
/// Thread safety: used on one thread.
class CoordinatorTask
{
public:
    struct Hooks
    {
        std::function<bool(TimePoint now)> holdsLease;
        std::function<void(FencingNumber number)> noteNumber;
        /// Entries of the own zone that are believed alive, this one included.
        std::function<std::vector<EntryId>()> aliveEntries;
    };

    /// Precondition: all references outlive the object.
    CoordinatorTask(const boost::asio::any_io_executor &executor, const ZoneOptions &options,
                    const ZoneHooks &zoneHooks, FencingNumber number, const TakeoverKnowledge &knowledge,
                    ZoneFollower &follower, PeerNetwork &network, Hooks hooks);
    ~CoordinatorTask();
    CoordinatorTask(const CoordinatorTask &) = delete;
    CoordinatorTask &operator=(const CoordinatorTask &) = delete;

    /// Runs until cancelled and ends its tasks before it returns.
    boost::asio::awaitable<void> run();

    void announce(const Announcement &announcement);
    /// Triples of target index, running and waiting.
    void applyLoads(const std::vector<std::uint32_t> &loads);
    void noteDemand(const EntryId &from, const LoadDemand &demand);
    void onReleaseReply(const EntryId &from, std::uint64_t round, bool released);
    void reportBroken(const TargetId &target);

    /// Sends the whole view to an entry of the zone.
    void sendView(PeerLink &link);
    /// Whether a heartbeat to the entry may renew its view lease.
    bool renewView(const EntryId &entry, TimePoint now);
    /// Sends the whole summary to the coordinator of another zone, and changes from then on, until removed.
    void addForeign(PeerLink &link);
    void removeForeign(PeerLink &link);

    [[nodiscard]] FencingNumber number() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
