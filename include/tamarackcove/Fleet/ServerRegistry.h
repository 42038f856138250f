#pragma once

#include "tamarackcove/Fleet/FleetState.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>

namespace tamarackcove {

/// The servers that the control leader offers to entries, from their heartbeats and from the departures in the
/// replicated state.
///
/// Thread safety: used on one thread.
class ServerRegistry
{
public:
    struct Options
    {
        /// A server without a heartbeat for this long is removed. Heartbeats can arrive seconds late.
        milliseconds heartbeatTimeout{6000};
        /// A server without a heartbeat for this long may have ended.
        milliseconds maxHeartbeatGap{2500};
        /// How long after the departure of a server of which no start is known its heartbeats count as delayed ones.
        milliseconds heartbeatDelay{10000};
        /// Largest number of departures that are kept. Beyond it the first ones are dropped.
        std::size_t maxDepartures = FleetState::MaxDepartures;
    };
    /// The result of a heartbeat.
    enum class HeartbeatResult {
        /// The start, service, address, drain state and models of the server are the same as before.
        Unchanged,
        /// The server is new, or one of these properties has changed.
        Changed,
        /// Ignored: from an earlier start of the server, from a server that has ended, or older than the last
        /// heartbeat.
        Outdated,
        /// The server drains. The caller records that in the replicated state before it answers the heartbeat.
        Departing,
    };
    struct Server
    {
        /// The last heartbeat.
        ServerHeartbeat lastHeartbeat;
        /// When the last heartbeat arrived, or when addUnannounced() added the server.
        TimePoint lastHeard;
        /// Whether the server drains, according to its last heartbeat or to a departure in the replicated state.
        bool draining = false;
    };

    explicit ServerRegistry(Options options);

    /// Updates the registry from one heartbeat. Precondition: the heartbeat is valid, see
    /// ServerHeartbeat::validationError().
    [[nodiscard]] HeartbeatResult heartbeat(const ServerHeartbeat &heartbeat, TimePoint now);
    /// Adds a server that an entry or the replicated state lists and that has not sent a heartbeat to this host yet.
    /// Returns false without a change if this or a later start of the server is present, if another server with this
    /// address was announced or added since clear(), if this start of the server has ended, or if the record is not
    /// valid, as one of an earlier version of the program may be.
    bool addUnannounced(const ServerHeartbeat &heartbeat, bool draining, TimePoint now);
    /// Null when there is no server with this id.
    [[nodiscard]] const Server *find(const TargetId &id) const;
    /// Whether this start of a server, which was at this address, has ended as far as its heartbeats tell: a later
    /// start has replaced it, or they have stopped. Does not hold for a start that has never been in the registry,
    /// unless a later one is at the address, nor for one that drains.
    [[nodiscard]] bool seemsEnded(const ServerIdentity &server, const Endpoint &endpoint, TimePoint now) const;
    /// The servers whose heartbeats have stopped for longer than Options::maxHeartbeatGap, but for those that drain.
    [[nodiscard]] std::set<TargetId> silentServers(TimePoint now) const;
    /// Applies a departure that is in the replicated state. `gone` says that the server has ended; otherwise it drains.
    void applyDeparture(const ServerIdentity &server, bool gone);
    /// Applies the departure of a server of which no start is known; see FleetState::Departure::anyStart. Heartbeats of
    /// the server are ignored for Options::heartbeatDelay.
    void applyDepartureOfAnyStart(const TargetId &id, TimePoint now);
    /// Whether this start of the server has ended by a departure.
    [[nodiscard]] bool hasEnded(const ServerIdentity &server, TimePoint now) const;
    /// Removes the servers whose Server::lastHeard is longer ago than Options::heartbeatTimeout.
    void expire(TimePoint now);
    [[nodiscard]] const std::map<TargetId, Server> &servers() const;
    /// The servers that were added, changed or removed after the previous call.
    [[nodiscard]] std::set<TargetId> takeChanges();
    void clear();

private:
    void remove(const TargetId &id);
    [[nodiscard]] bool mayAddUnannounced(const ServerHeartbeat &heartbeat, TimePoint now) const;

    Options m_options;
    std::map<TargetId, Server> m_servers;
    /// The newest server start that was recorded at each address, kept after the server was removed. A heartbeat of an
    /// older start from the same address is a delayed one.
    std::map<Endpoint, ServerIdentity> m_newestStartByAddress;
    /// The servers with a departure in the replicated state: true once the server has ended, false while it drains.
    std::map<ServerIdentity, bool> m_departures;
    /// The keys of m_departures in the order in which they were added.
    std::deque<ServerIdentity> m_departureOrder;
    /// Until when all heartbeats of a server are ignored because no start of it was known when it departed.
    std::map<TargetId, TimePoint> m_departuresOfAnyStart;
    std::set<TargetId> m_changes;
};

} // namespace tamarackcove
