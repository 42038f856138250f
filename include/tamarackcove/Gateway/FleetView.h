#pragma once

#include "tamarackcove/Fleet/AdapterHistory.h"
#include "tamarackcove/Fleet/RetryWindow.h"
#include "tamarackcove/Fleet/RouteTable.h"
#include "tamarackcove/Fleet/ServerDirectory.h"
#include "tamarackcove/Gateway/CrashSuspectWatch.h"
#include "tamarackcove/Gateway/WorkspaceAdmission.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace tamarackcove {

struct DemandMessage;
struct FleetUpdateMessage;
struct FleetReportMessage;
struct GatewaySettings;
struct CallerDialect;

/// An entry's view of its deployment: the configuration in force, the servers, the adapters that they hold or load
/// (their holdings), and the versions of weights. Also collects what the entry reports to the control host, such as
/// requests that wait for adapters.
///
/// Thread safety: used on the thread of the executor.
class FleetView
{
public:
    FleetView(boost::asio::any_io_executor executor, const GatewaySettings &settings, const CallerDialect &dialect);

    /// Applies an update of the leader. A configuration that is not newer than the one in force is ignored.
    /// `leaderClockZero` is when the clock of the leader, to which the update refers, stood at zero.
    void apply(const FleetUpdateMessage &update, TimePoint leaderClockZero, TimePoint now);
    /// Notes that the leader is connected, and the number of entries among which the retry budget is divided.
    void noteStatus(std::size_t entries, TimePoint now);
    /// A report that only identifies this entry: its name, zone and configuration version.
    [[nodiscard]] FleetReportMessage makeReportHeader() const;
    /// Returns the report for the time since the last call and resets the counts in it. A report to a new leader
    /// includes the servers that this entry knows. Optionally includes the adapter history of each server. Crashes are
    /// added by crashSuspects(), as each control host gets them.
    [[nodiscard]] FleetReportMessage takeReport(bool toNewLeader, bool withHistory);
    /// A report of the demands that are new since the previous report.
    [[nodiscard]] FleetReportMessage takeNewDemands();

    /// Null before the first configuration.
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const;
    [[nodiscard]] ServerDirectory &servers();
    [[nodiscard]] CrashSuspectWatch &crashSuspects();
    [[nodiscard]] WorkspaceAdmission &admission();
    [[nodiscard]] RetryWindow &retryBudget(const ServiceName &service);
    /// The lowest version of an adapter on which requests may run; 0 if any version may be used.
    [[nodiscard]] std::uint64_t requiredVersion(const AdapterKey &adapter, TimePoint now) const;
    /// The latest version of an adapter that the control host has announced; 0 if there is none.
    [[nodiscard]] std::uint64_t latestVersion(const AdapterKey &adapter) const;
    /// Time since the last message of a leader; before the first update, time since the start.
    [[nodiscard]] milliseconds updateAge(TimePoint now) const;
    /// Number of requests that wait for an adapter or for the first configuration.
    [[nodiscard]] std::size_t waitingRequests() const;
    /// The number of retries left to this entry in the retry budget of each service.
    [[nodiscard]] std::vector<std::pair<ServiceName, double>> retriesLeft(TimePoint now);

    /// One wait of a request for an adapter.
    struct Wait
    {
        AdapterKey adapter;
        /// The latest version of the adapter that this entry knows of; 0 if it knows of none.
        std::uint64_t version = 0;
        /// Whether the next report asks the control host to load the adapter for this request. False while a load is in
        /// progress.
        bool requestsLoad = false;
        /// Servers that have failed this request so far, or hold the adapter and want no requests for now.
        int failedServers = 0;
        TimePoint until;
    };
    /// Waits until the configuration, the servers or their holdings have changed, or until `wait.until`. The timer
    /// belongs to the request; the wait also ends when the timer is cancelled.
    boost::asio::awaitable<void> waitForAdapter(Wait wait, Timer &timer);
    /// Waits until there is a configuration, or until the given time. The timer belongs to the request; cancelling the
    /// timer makes the wait check again whether there is a configuration.
    boost::asio::awaitable<void> waitForConfiguration(TimePoint until, Timer &timer);
    /// Count the requests for an adapter that are in progress at a server. Each beginUse() is followed by one endUse().
    void beginUse(const TargetId &server, const AdapterKey &adapter);
    void endUse(const TargetId &server, const AdapterKey &adapter);
    /// Records for the next report that a server has answered that it does not hold an adapter.
    void recordMissingAdapter(const TargetId &server, const AdapterKey &adapter);
    /// Records for the next report that a server was still loading an adapter when the time `delay` had passed since
    /// the expected end of the load.
    void recordOverdueLoad(const TargetId &server, const AdapterKey &adapter, milliseconds delay);
    /// Called when the first request waits for an adapter that must be loaded, and when a request begins to wait that
    /// more servers have failed than any earlier one that waits for the adapter.
    std::function<void()> onNewDemand;
    /// Called for each report of the leader on the loads of servers, also if none of them has changed.
    std::function<void(TimePoint now)> onLoads;

private:
    /// The requests of this entry that wait for an adapter to be loaded: their number, the highest version that they
    /// ask for, and the largest number of servers that have failed one of them.
    struct Demand
    {
        int waiting = 0;
        std::uint64_t version = 0;
        int failed = 0;
        /// Whether onNewDemand was called after the last report.
        bool isNew = false;
    };
    struct AnnouncedVersion
    {
        std::uint64_t version = 0;
        TimePoint announcedAt;
    };

    void wakeWaiters();
    void noteLoads(TimePoint now);
    void addHistory(FleetReportMessage &report) const;

    boost::asio::any_io_executor m_executor;
    const GatewaySettings &m_settings;
    const CallerDialect &m_dialect;
    std::shared_ptr<const RouteTable> m_routes;
    TimePoint m_updatedAt;
    TimePoint m_loadsAt;
    ServerDirectory m_servers;
    CrashSuspectWatch m_crashSuspects;
    WorkspaceAdmission m_admission;
    AdapterHistory m_history;
    std::unordered_map<AdapterKey, AnnouncedVersion> m_versions;
    std::map<ServiceName, RetryWindow> m_retryBudgets;
    std::size_t m_entryCount = 1;
    [[nodiscard]] static DemandMessage toDemandMessage(const AdapterKey &adapter, const Demand &demand);

    std::map<AdapterKey, Demand> m_demands;
    /// Requests for one adapter at one server.
    struct Use
    {
        /// Requests sent since the last report.
        int sent = 0;
        int running = 0;
        /// Whether the last report said that requests are in progress; their end must then be reported too.
        bool runningUseReported = false;
    };
    std::map<std::pair<TargetId, AdapterKey>, Use> m_uses;
    std::set<std::pair<TargetId, AdapterKey>> m_missingAdapters;
    std::map<std::pair<TargetId, AdapterKey>, milliseconds> m_overdueLoads;
    std::set<Timer *> m_waiters;
};

} // namespace tamarackcove
