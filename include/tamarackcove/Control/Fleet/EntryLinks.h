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

/// Connections of entries to the control host that leads: tells each of them the configuration, the servers and what
/// they hold as these change, and takes their reports. A host that does not lead only says who does.
///
/// Thread safety: used on the thread of the executor.
class EntryLinks
{
public:
    struct Hooks
    {
        std::function<bool()> leads;
        std::function<std::uint64_t()> term;
        /// IP numbers of the control hosts.
        std::function<std::vector<std::string>()> hosts;
        /// Whether every server that is alive has had the time to announce itself to this host.
        std::function<bool()> settled;
        /// Whether it helps to know which adapters servers have held before this host gave orders.
        std::function<bool()> wantsHistory;
        std::function<void(const FleetReportMessage &)> onReport;
        std::function<void(const EntryId &)> onEntryGone;
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

    /// The configuration or the versions of weights have changed.
    void stateChanged();
    void serversChanged(const std::set<TargetId> &ids);
    void holdingsChanged(const std::vector<AdapterPlanner::HoldingChange> &changes);
    /// This host has begun or ceased to lead; entries are told everything anew.
    void leadershipChanged();
    [[nodiscard]] std::size_t size() const;
    /// Requests of all entries that wait for an adapter.
    [[nodiscard]] int waiting(const AdapterKey &adapter) const;
    /// What all entries together have in progress at each server; added up ten times a second at most.
    [[nodiscard]] const std::vector<LoadMessage> &loads();

private:
    struct Link;

    boost::asio::awaitable<void> serve(std::shared_ptr<Link> link);
    boost::asio::awaitable<void> readReports(Link &link);
    boost::asio::awaitable<void> writeUpdates(Link &link);
    [[nodiscard]] FleetUpdateMessage compose(Link &link);
    [[nodiscard]] bool asksForHistory(Link &link);
    [[nodiscard]] ServerMessage describe(const TargetId &id) const;

    Supervisor &m_connections;
    const FleetState &m_state;
    const ServerRegistry &m_registry;
    const AdapterPlanner &m_planner;
    Hooks m_hooks;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<Link *> m_links;
    std::uint64_t m_accepted = 0;
    std::vector<LoadMessage> m_loads;
    TimePoint m_loadsAt;
    /// Entries that were asked for the history since this host began to lead, and when the last one was.
    int m_historiesAsked = 0;
    TimePoint m_historyAskedAt;
};

} // namespace tamarackcove
