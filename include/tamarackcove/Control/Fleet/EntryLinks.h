#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Fleet/AdapterPlanner.h"
#include "tamarackcove/Fleet/FleetState.h"
#include "tamarackcove/Fleet/ServerRegistry.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Wire/FleetMessages.h"
#include "tamarackcove/Wire/WireError.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace tamarackcove {

class FramedConnection;

/// Connections of entries to this control host. While the host is leader of the control hosts, it sends each entry the
/// changes of the configuration, of the servers and of the adapters that they hold or load (their holdings), and
/// receives the reports of entries. While the host is not leader, it sends only the list of control hosts.
///
/// Thread safety: used on the thread of the executor.
class EntryLinks
{
public:
    struct Hooks
    {
        /// Whether this host is leader.
        std::function<bool()> leads;
        std::function<std::uint64_t()> term;
        /// IP addresses of the control hosts.
        std::function<std::vector<std::string>()> hosts;
        /// Whether every live server has had time to announce itself since this host became leader, so that an entry
        /// may remove the servers that are not in the registry.
        std::function<bool()> serversAnnounced;
        /// Whether the planner of this host can use the adapter histories of entries, which list the adapters that
        /// servers held before this host gave orders. True while this host sends orders.
        std::function<bool()> wantsHistory;
        std::function<void(const FleetReportMessage &)> onReport;
        std::function<void(const EntryId &)> onEntryDisconnected;
    };

    /// Precondition: state, registry and planner outlive this object; the supervisor is stopped before it is destroyed.
    EntryLinks(Supervisor &connections, const FleetState &state, const ServerRegistry &registry,
               const AdapterPlanner &planner, Hooks hooks);
    ~EntryLinks();
    EntryLinks(const EntryLinks &) = delete;
    EntryLinks &operator=(const EntryLinks &) = delete;

    Result<void, WireError> listen(const Endpoint &endpoint);
    /// Accepts until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();

    /// Precondition: listen() has succeeded.
    [[nodiscard]] std::uint16_t port() const;

    /// Sends all entries an update at once. Called when the configuration or versions of weights have changed.
    void scheduleStateUpdate();
    /// Sends all entries these servers at once; those that are not in the registry any more as removed.
    void scheduleServerUpdates(const std::set<TargetId> &ids);
    /// Adds the changes to the next update of each entry. The update is sent at once if a server now holds or loads an
    /// adapter that requests of this entry wait for.
    void scheduleHoldingUpdates(const std::vector<AdapterPlanner::HoldingChange> &changes);
    /// Sends all entries an update at once, with the whole state if this host is leader. Called when this host has
    /// become leader or is no longer leader.
    void resendEverything();
    /// The number of open connections of entries.
    [[nodiscard]] std::size_t size() const;
    /// Number of requests that wait for an adapter, summed over all entries.
    [[nodiscard]] int waitingRequests(const AdapterKey &adapter) const;
    /// Request load of each server: the weight of its requests in progress, summed over the last reports of all
    /// entries. Computed at most ten times a second; between two computations the previous result is returned.
    [[nodiscard]] const std::vector<ServerLoadMessage> &totalLoads();

private:
    struct Link;

    boost::asio::awaitable<void> serve(std::shared_ptr<Link> link);
    boost::asio::awaitable<void> readReports(Link &link);
    boost::asio::awaitable<void> writeUpdates(Link &link);
    [[nodiscard]] FleetUpdateMessage composeUpdate(Link &link);
    /// Decides whether the next update of this entry asks for its adapter history, and counts the history request if it
    /// does.
    [[nodiscard]] bool tryRequestHistory(Link &link);
    [[nodiscard]] ServerMessage toServerMessage(const TargetId &id) const;

    Supervisor &m_connections;
    const FleetState &m_state;
    const ServerRegistry &m_registry;
    const AdapterPlanner &m_planner;
    Hooks m_hooks;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<Link *> m_links;
    std::uint64_t m_acceptedConnections = 0;
    std::vector<ServerLoadMessage> m_totalLoads;
    TimePoint m_totalLoadsAt;
    /// Number of entries that were asked for their adapter history since this host became leader.
    int m_historyRequests = 0;
    /// When an entry was last asked for its adapter history.
    TimePoint m_lastHistoryRequestAt;
};

} // namespace tamarackcove
