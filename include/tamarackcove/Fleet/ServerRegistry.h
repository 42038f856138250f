#pragma once

#include "tamarackcove/Fleet/FleetState.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <map>
#include <set>

namespace tamarackcove {

/// The servers that announce themselves, as the control leader knows them from their heartbeats and from the departures
/// in the replicated state.
///
/// Thread safety: used on one thread.
class ServerRegistry
{
public:
    struct Options
    {
        /// A server without a heartbeat for this long is not offered any more. Heartbeats may be seconds late.
        milliseconds silence{6000};
    };
    enum class Verdict {
        /// The record is as before, apart from the time of the heartbeat.
        Unchanged,
        Changed,
        /// From an earlier start of the server, or overtaken by a later heartbeat; it changes nothing.
        Outdated,
        /// The server leaves; the answer must wait until that is in the replicated state.
        Leaves,
    };
    struct Server
    {
        ServerHeartbeat said;
        TimePoint lastHeard;
        bool draining = false;
    };

    explicit ServerRegistry(Options options);

    /// Takes one heartbeat.
    [[nodiscard]] Verdict heartbeat(const ServerHeartbeat &heartbeat, TimePoint now);
    /// Takes what an entry knows of a server that has not announced itself here yet. Returns whether it was taken.
    bool suggest(const ServerHeartbeat &heartbeat, bool draining, TimePoint now);
    /// Null when no server of this name is known.
    [[nodiscard]] const Server *find(const TargetId &id) const;
    /// Takes over a departure that is in the replicated state.
    void departed(const ServerIdentity &server, bool gone);
    /// Removes servers that have been silent for too long.
    void expire(TimePoint now);
    [[nodiscard]] const std::map<TargetId, Server> &servers() const;
    /// The servers that were added, changed or removed since the last call.
    [[nodiscard]] std::set<TargetId> takeChanges();
    void clear();

private:
    void remove(const TargetId &id);

    Options m_options;
    std::map<TargetId, Server> m_servers;
    /// The newest start at each address: an older one that still sends is a delayed heartbeat.
    std::map<Endpoint, ServerIdentity> m_atAddress;
    std::map<ServerIdentity, bool> m_departures;
    std::set<TargetId> m_changes;
};

} // namespace tamarackcove
