#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Control/Fleet/UpdateFeed.h"
#include "tamarackcove/Fleet/DemandTable.h"
#include "tamarackcove/Fleet/ServerSpeed.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Wire/FleetMessages.h"
#include "tamarackcove/Wire/WireError.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace tamarackcove {

class FramedConnection;

/// Connections of entries to this control host. While the host is leader of the control hosts, it sends all entries the
/// changes of the configuration, of the servers and of the adapters that they hold or load (their holdings), and
/// receives the reports of entries. While the host is not leader, it sends only its status.
///
/// One task publishes the changes in the feed, at most once in each ChangeDelay; the task of each connection sends the
/// frames that its entry lacks. Changes reach all entries at once, except holdings, which go at once only to entries
/// with requests that wait for the adapter.
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
        /// What the leader answers to the reports of an entry about allowances; null if there is nothing to answer.
        /// Sent after each status of a leader.
        std::function<SharedFrame(const EntryId &)> allowanceFrame;
        std::function<void(const FleetReportMessage &)> onReport;
        std::function<void(const EntryId &)> onEntryDisconnected;
    };

    /// Precondition: feed and demands outlive this object; the supervisor is stopped before it is destroyed.
    EntryLinks(Supervisor &connections, UpdateFeed &feed, const DemandTable &demands, Hooks hooks);
    ~EntryLinks();
    EntryLinks(const EntryLinks &) = delete;
    EntryLinks &operator=(const EntryLinks &) = delete;

    Result<void, WireError> listen(const Endpoint &endpoint);
    /// Accepts until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();
    /// Publishes changes until cancelled.
    boost::asio::awaitable<void> publishUpdates();

    /// Precondition: listen() has succeeded.
    [[nodiscard]] std::uint16_t port() const;

    /// Sends all entries the changes of the configuration and the versions of weights.
    void scheduleStateUpdate();
    /// Sends all entries these servers; those that are not in the registry any more as removed.
    void scheduleServerUpdates(const std::set<TargetId> &ids);
    /// Sends all entries these changes: at once those entries with requests that wait for an adapter which a server now
    /// holds or loads, the others within UpdateInterval.
    void scheduleHoldingUpdates(const std::vector<AdapterPlanner::HoldingChange> &changes);
    /// Sends all entries the status of this host, and the whole state if it is leader. Called when this host has become
    /// leader or is no longer leader.
    void resendEverything();
    /// Sends these entries their next messages at once.
    void sendSoon(const std::set<EntryId> &entries);
    /// The number of open connections of entries.
    [[nodiscard]] std::size_t size() const;
    /// Request load of each server: the weight of its requests in progress, summed over the last reports of all
    /// entries, and whether it is slow. Computed at most ten times a second; between two computations the previous
    /// result is returned.
    [[nodiscard]] const std::vector<ServerLoadMessage> &totalLoads();

private:
    struct Link;

    boost::asio::awaitable<void> serve(std::shared_ptr<Link> link);
    boost::asio::awaitable<void> readReports(Link &link);
    boost::asio::awaitable<void> writeUpdates(Link &link);
    void addTimes(const FleetReportMessage &report);
    /// Publishes what is pending and wakes the connections that send it now.
    void publish(TimePoint now);
    /// Makes publishUpdates() publish after ChangeDelay.
    void schedulePublication();
    /// The status of this host as a frame, which the entries share for StatusLifetime.
    [[nodiscard]] SharedFrame statusFrame(bool wantsHistory);
    /// Decides whether the next status asks this entry for its adapter history, and counts the history request if it
    /// does.
    [[nodiscard]] bool tryRequestHistory(Link &link);

    Supervisor &m_connections;
    UpdateFeed &m_feed;
    const DemandTable &m_demands;
    Hooks m_hooks;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<Link *> m_links;
    /// Connections whose entries await a change that is not published yet.
    std::set<Link *> m_awaitingLinks;
    std::uint64_t m_acceptedConnections = 0;
    Timer m_publicationTimer;
    /// When the next publication is due.
    TimePoint m_publicationAt;
    /// When all entries were last woken.
    TimePoint m_allWokenAt;
    /// Whether the next publication is sent to all entries at once.
    bool m_wakeAll = false;
    SharedFrame m_status;
    TimePoint m_statusAt;
    /// Speed of each server of which entries have reported times.
    std::map<std::string, ServerSpeed, std::less<>> m_speeds;
    std::vector<ServerLoadMessage> m_totalLoads;
    TimePoint m_totalLoadsAt;
    /// Number of entries that were asked for their adapter history since this host became leader.
    int m_historyRequests = 0;
    /// When an entry was last asked for its adapter history.
    TimePoint m_lastHistoryRequestAt;
};

} // namespace tamarackcove
