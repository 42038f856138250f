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

/// Another entry, as the settings list it.
struct ZonePeer
{
    EntryId id;
    Zone zone;
    /// Where it accepts the protocol between entries.
    Endpoint peer;
    /// Where it accepts callers and forwarded requests.
    Endpoint http;
};

/// Settings of ZoneMember. The lease times must be the same on all entries of a zone.
struct ZoneOptions
{
    EntryId self;
    Zone zone;
    /// `peer_listen`
    Endpoint listen;
    /// All other entries, those of other zones too; this entry itself may be listed and is skipped.
    std::vector<ZonePeer> peers;

    milliseconds lease = seconds(2);
    milliseconds renewInterval = milliseconds(500);
    /// Between entries of which neither is the coordinator.
    milliseconds heartbeatInterval = milliseconds(1000);
    /// To and from the coordinator; it also renews the view lease.
    milliseconds coordinatorHeartbeatInterval = milliseconds(500);
    /// A link without a message for this long is silent.
    /// One timer for the heartbeats of all links, instead of one for each link.
    bool sharedBeatTimer = false;
    milliseconds linkSilence = milliseconds(2500);
    milliseconds viewInterval = milliseconds(200);
    /// An entry dispatches for this long after the heartbeat that the coordinator acknowledged last.
    milliseconds viewLease = seconds(2);
    /// Taken off each lease by its holder, for clocks that run at different rates: 5% of the longest lease.
    milliseconds clockMargin = milliseconds(100);
    milliseconds orderDeadline = seconds(10);
    /// How long the coordinator tries to have one adapter released.
    milliseconds releaseTimeout = seconds(6);
    /// The planner runs this often, and whenever demand or residency changes.
    milliseconds planInterval = milliseconds(500);
    milliseconds suspectAfter = seconds(3);
    milliseconds goneAfter = seconds(10);
    milliseconds configurationHoldTimeout = milliseconds(1500);
    std::uint64_t seed = 1;
};

/// What ZoneMember asks of the rest of the entry.
struct ZoneHooks
{
    /// Functions that are not set count as a control group that cannot be reached, but an unset requestPermit grants
    /// what is wanted: without a control group configured, the store has no limit.
    ControlCalls control;
    /// Makes the planner of one coordinator term. The default is makeLeastLoadedPlanner().
    std::function<PlannerHooks()> makePlanner;
    /// Called when a held revision may be in force.
    std::function<void(Revision revision)> onActivate;
    /// The configuration that this entry holds, for a restarted peer; the bytes are opaque here.
    std::function<std::optional<std::pair<Revision, std::string>>()> heldConfiguration;
    /// A restarted entry got a configuration from a peer and should hold it.
    std::function<void(Revision revision, const std::string &bytes)> onPeerConfiguration;
    /// A peer reported a crash of a target.
    std::function<void(TargetId target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints)> onCrash;
    /// The path that a load order names as `lora_path`. The default is the adapter as text.
    std::function<std::string(const AdapterRef &adapter)> loraPath;
    /// The base model of an adapter. When set, orders go only to engines that serve it.
    std::function<std::optional<BaseModel>(const AdapterRef &adapter)> baseModel;
};

} // namespace tamarackcove
