#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Residency/PlannerHooks.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tamarackcove {

/// Another entry, as listed in the settings.
struct ZonePeer
{
    EntryId id;
    Zone zone;
    /// Its `peer_listen` endpoint, for the protocol between entries.
    Endpoint peer;
    /// Its HTTP endpoint, for callers and forwarded requests.
    Endpoint http;
};

/// Settings of ZoneMember. The lease times must be the same on all entries of a zone.
struct ZoneOptions
{
    EntryId self;
    Zone zone;
    /// The `peer_listen` endpoint of this entry.
    Endpoint listen;
    /// All other entries, including those of other zones. An item for this entry itself is ignored.
    std::vector<ZonePeer> peers;

    /// Length of the zone lease, under which an entry is the coordinator of the zone.
    milliseconds lease = seconds(2);
    /// Interval at which the coordinator renews the zone lease.
    milliseconds renewInterval = milliseconds(800);
    /// Interval between heartbeats to an entry that is not the coordinator.
    milliseconds heartbeatInterval = milliseconds(1000);
    /// Interval between heartbeats to the coordinator, which replies at once and so renews the view lease. With this
    /// interval and `renewInterval`, the traffic of the coordinator of 32 entries stays within 8 KB/s, and a single
    /// lost exchange does not end a lease.
    milliseconds coordinatorHeartbeatInterval = milliseconds(800);
    /// A link fails, and its peer is reported as silent, when no message arrives for this long.
    milliseconds linkReceiveTimeout = milliseconds(2500);
    /// How often the coordinator sends changes of the view.
    milliseconds viewInterval = milliseconds(200);
    /// An entry may dispatch for this long after it sent the last heartbeat that the coordinator echoed.
    milliseconds viewLease = seconds(2);
    /// The holder of a lease regards the lease as ended this long before its end, because clocks run at different
    /// rates: 5% of the longest lease.
    milliseconds clockMargin = milliseconds(100);
    /// The longest time that an order to an engine to load or unload an adapter may take; afterwards the order has no
    /// effect.
    milliseconds orderDeadline = seconds(10);
    /// How long the coordinator waits for the entries to release an adapter on a target (to start no more requests with
    /// it there) before it gives up the eviction.
    milliseconds releaseTimeout = seconds(6);
    /// The planner runs at this interval, and also whenever demand or residency changes.
    milliseconds planInterval = milliseconds(500);
    /// A target without an announcement for this long is marked as suspect.
    milliseconds suspectAfter = seconds(3);
    /// A target without an announcement for this long is removed from the view.
    milliseconds removeAfter = seconds(10);
    /// Peers that do not report that they hold a configuration revision delay its activation on this entry by at most
    /// this long.
    milliseconds configurationActivationTimeout = milliseconds(1500);
    std::uint64_t seed = 1;
};

/// The functions that ZoneMember calls in the rest of the entry.
struct ZoneHooks
{
    /// An unset function behaves as if the control group could not be reached. The exception is an unset requestPermit,
    /// which grants every request: without a control group configured, adapter loads from the store are not limited.
    ControlCalls control;
    /// Called at the start of each coordinator term to make its planner. The default is makeLeastLoadedPlanner().
    std::function<PlannerHooks()> makePlanner;
    /// Called when a revision that this entry holds may be put in force.
    std::function<void(Revision revision)> onActivate;
    /// Returns the configuration that this entry holds, to be sent to a restarted peer. ZoneMember does not interpret
    /// the bytes.
    std::function<std::optional<std::pair<Revision, std::string>>()> heldConfiguration;
    /// Called when this entry, after a restart, has fetched a configuration from a peer and should hold it.
    std::function<void(Revision revision, const std::string &bytes)> onPeerConfiguration;
    /// Called when a peer has reported a crash of a target with these request fingerprints in flight.
    std::function<void(TargetId target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints)> onCrash;
    /// Returns the `lora_path` of a load order. The default is AdapterRef::toString().
    std::function<std::string(const AdapterRef &adapter)> loraPath;
    /// Returns the base model of an adapter. When set, load orders go only to engines that serve this base model.
    std::function<std::optional<BaseModel>(const AdapterRef &adapter)> baseModel;
};

} // namespace tamarackcove
