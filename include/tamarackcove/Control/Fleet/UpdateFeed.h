#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/AdapterPlanner.h"
#include "tamarackcove/Fleet/FleetState.h"
#include "tamarackcove/Fleet/ServerRegistry.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/FleetMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarackcove {

/// The updates that the leader sends to all entries. Each is encoded once, whatever the number of entries. An entry
/// that has just connected, or has fallen too far behind, gets the whole state and the updates after it.
///
/// Thread safety: used on one thread.
class UpdateFeed
{
public:
    /// How far an entry has followed the feed. The initial value stands for nothing; only the feed changes it.
    struct Position
    {
        /// The number of the last update that was sent; 0 for none.
        std::uint64_t update = 0;
        /// See UpdateFeed::m_epoch.
        std::uint64_t epoch = 0;
    };

    /// Precondition: state, registry and planner outlive this object.
    UpdateFeed(const FleetState &state, const ServerRegistry &registry, const AdapterPlanner &planner);

    /// Forgets all updates, so that every entry gets the whole state next. Called when this host becomes leader or
    /// ceases to be leader.
    void restart();
    /// Adds servers that were added, changed or removed to the next update.
    void addServers(const std::set<TargetId> &ids);
    /// Adds a start of a server that drains or has ended to the next update.
    void addDeparture(const ServerIdentity &server);
    void addHoldings(const std::vector<AdapterPlanner::HoldingChange> &changes);
    /// Adds the loads that differ from those of the previous call to the next update.
    void setLoads(const std::vector<ServerLoadMessage> &loads);
    /// Says that every live server has had time to announce itself, so that entries may remove all other servers.
    void setServersComplete();
    /// Sets the crash suspects that entries watch, and those that they refuse. Returns whether either has changed.
    bool setSuspects(std::set<CrashSuspect> watched, std::set<CrashSuspect> quarantined);
    /// Sets the servers whose heartbeats have stopped. Returns whether they have changed.
    bool setSilentServers(std::set<TargetId> silent);

    /// Encodes the changes since the previous call as the next update, if there are any. Returns whether there were.
    bool publish();
    /// The frames that an entry needs to follow the feed from its position to the last published update. Advances the
    /// position.
    [[nodiscard]] std::vector<SharedFrame> framesAfter(Position &position);
    /// Updates and parts of the whole state that were encoded since the start of the process.
    [[nodiscard]] std::uint64_t encodedFrames() const;

private:
    [[nodiscard]] ServerMessage toServerMessage(const ServerRegistry::Server &server) const;
    [[nodiscard]] ServerLoadMessage toLoadMessage(const std::string &server) const;
    /// Adds the configuration and the versions of weights that are newer than those given.
    void addState(FleetUpdateMessage &update, std::uint64_t configurationVersion, Revision revision) const;
    void addCompleteList(FleetUpdateMessage &update) const;
    void addSuspects(FleetUpdateMessage &update) const;
    void addSilentServers(FleetUpdateMessage &update) const;
    /// Adds the departures of the replicated state.
    void addDepartures(FleetUpdateMessage &update) const;
    [[nodiscard]] SharedFrame encode(const FleetUpdateMessage &update);
    /// Encodes the whole state, unless it was encoded after the last published update.
    void refreshSnapshot();

    const FleetState &m_state;
    const ServerRegistry &m_registry;
    const AdapterPlanner &m_planner;
    /// Number of calls of restart(), plus 1. A position of another epoch stands for nothing.
    std::uint64_t m_epoch = 1;
    /// The latest updates; the last one has the number m_lastUpdate.
    std::deque<SharedFrame> m_updates;
    std::uint64_t m_lastUpdate = 0;
    std::uint64_t m_publishedConfigurationVersion = 0;
    Revision m_publishedRevision;
    bool m_serversComplete = false;
    bool m_completeListPublished = false;
    std::set<TargetId> m_pendingServers;
    std::set<ServerIdentity> m_pendingDepartures;
    std::map<std::pair<TargetId, AdapterKey>, AdapterPlanner::HoldingChange> m_pendingHoldings;
    std::map<std::string, ServerLoadMessage> m_loads;
    /// Whether entries have reported loads since restart(). From then on a server without load is sent as such, because
    /// entries may still have its load from an earlier leader.
    bool m_loadsKnown = false;
    std::set<std::string> m_pendingLoads;
    std::set<CrashSuspect> m_watchedSuspects;
    std::set<CrashSuspect> m_quarantinedSuspects;
    bool m_suspectsPending = false;
    std::set<TargetId> m_silentServers;
    bool m_silentServersPending = false;
    /// The whole state, as of the update with the number m_snapshotUpdate; empty if it has not been encoded since then.
    std::vector<SharedFrame> m_snapshot;
    std::uint64_t m_snapshotUpdate = 0;
    std::uint64_t m_encodedFrames = 0;
};

} // namespace tamarackcove
