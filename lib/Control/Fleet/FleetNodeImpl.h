#pragma once

#include "tamarackcove/Control/Fleet/EntryLinks.h"
#include "tamarackcove/Control/Fleet/FleetLog.h"
#include "tamarackcove/Control/Fleet/FleetNode.h"
#include "tamarackcove/Control/Fleet/OrderDispatcher.h"
#include "tamarackcove/Control/Fleet/UpdateFeed.h"
#include "tamarackcove/Control/LogStatus.h"
#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Fleet/AdapterPlanner.h"
#include "tamarackcove/Fleet/AllowanceLedger.h"
#include "tamarackcove/Fleet/CrashAttribution.h"
#include "tamarackcove/Fleet/DemandTable.h"
#include "tamarackcove/Http/MemoryBudget.h"
#include "tamarackcove/Http/MetricsEndpoint.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Storage/DataFolder.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <memory>
#include <set>

namespace tamarackcove {

/// The root of the supervisor tree of a control host, and what its children share. Its functions are in FleetNode.cpp
/// (calls, servers, replicated state), FleetNodeLeadership.cpp (leadership and the order duty), FleetNodeReports.cpp
/// (reports and demands of entries), FleetNodeCrashes.cpp and FleetNodeAllowances.cpp.
struct FleetNode::Impl
{
    Impl(const boost::asio::any_io_executor &executor, FleetControlSettings nodeSettings, Hooks nodeHooks);

    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.idleTimeout = seconds(30);
        limits.requestTimeout = seconds(10);
        return limits;
    }

    void reportFatal(std::string_view what, std::string_view detail) const
    {
        LogLine(LogLevel::Critical, "control_fatal").add("reason", what).add("detail", detail);
        hooks.onFatal(what, detail);
    }

    /// Names of the members of the control group, which are their IP addresses.
    [[nodiscard]] std::vector<std::string> hosts()
    {
        std::vector<std::string> names;
        for (const auto &member : replica.client().status().replicas) {
            names.push_back(member.name);
        }
        return names;
    }

    void setGauges(Metrics &gauges);
    /// Applies what a command has changed in the replicated state; everything if the command is null.
    void handleStateChange(const FleetCommand *command);
    void readConfigurationInForce();
    void handleLeadershipChange(Leadership leadership);
    void beginLeadership();
    void endLeadership();
    /// Ends the leadership if it is still suspended after MaxSuspension.
    boost::asio::awaitable<void> awaitLease(std::uint64_t suspensionNumber);
    void publishServers();
    /// Passes the departures of the replicated state, or only those of one server, on to the registry.
    void applyDepartures(const TargetId *only);
    /// Proposes a NoteServer command if the replicated record of the server is outdated. `server` is its entry in the
    /// registry; null if it was removed.
    void proposeServerRecord(const TargetId &id, const ServerRegistry::Server *server);
    void publishHoldings();
    /// Passes a heartbeat to the planner and the dispatcher if this host holds the order duty.
    void updatePlanner(const ServerHeartbeat &heartbeat);
    void applyReport(const FleetReportMessage &report);
    /// Passes what a report says of allowances on to the ledger.
    void applyAllowances(const FleetReportMessage &report);
    /// Sends the entries with a decision on a one-time lease their answers.
    void sendLeaseDecisions();
    /// Has the ledger decide on one-time leases that wait for its pools.
    boost::asio::awaitable<void> decideLeases();
    /// The answer of the ledger to an entry as a frame; null if there is none.
    [[nodiscard]] SharedFrame allowanceFrame(const EntryId &entry);
    /// Gives the ledger the allowances of the configuration in force, if this host leads.
    void setAllowances();
    void setAllowanceGauges(Metrics &gauges);
    void applyDemands(const FleetReportMessage &report, TimePoint now);
    /// Makes a server that has stated that it is leaving a draining one, for all entries and for later leaders. Has no
    /// effect for an earlier start of the server.
    void noteLeaving(const ServerIdentity &identity, std::string_view reportedBy);
    /// Passes the crashes and the answered suspects of a report on to the attribution of crashes.
    void applyCrashes(const FleetReportMessage &report);
    /// Has the task attributeCrashes() evaluate the crashes, if this host leads.
    void evaluateCrashesSoon();
    /// Passes the verdicts of the replicated state on to the attribution of crashes.
    void readVerdicts();
    /// Proposes a command about a suspect. If the log does not accept it, the crashes are evaluated again.
    void proposeVerdict(const FleetCommand &command);
    /// Proposes the verdicts on the suspects that are convicted now, and tells entries which ones are watched.
    void decideOnCrashes();
    /// Tells entries which suspects are watched and which are in quarantine.
    void publishSuspects();
    /// How long the suspect stays in quarantine after a verdict.
    [[nodiscard]] milliseconds quarantineTimeOf(const CrashSuspect &suspect) const;
    /// Releases the suspects that are acquitted, and those whose quarantine has ended.
    void releaseSuspects();
    /// Convicts suspects when their time has come.
    boost::asio::awaitable<void> attributeCrashes();
    /// Has the planner consider the demands of entries.
    boost::asio::awaitable<void> planLoads();
    /// Proposes TakeOrderDuty until the log accepts it or this leadership ends. Waits for the order lease first if
    /// `awaitFormerHolder` says that the former holder still runs.
    boost::asio::awaitable<void> acquireOrderDuty(std::uint64_t leadershipNumber, bool awaitFormerHolder);
    boost::asio::awaitable<void> expireServers();
    /// Logs, at most once a second, how late the event loop runs and what it was given to do.
    boost::asio::awaitable<void> watchDelay();

    FleetControlSettings settings;
    Hooks hooks;
    Supervisor root;
    Supervisor callConnections;
    Supervisor entryConnections;
    Supervisor orderTasks;
    Metrics metrics;
    FleetLog log;
    const std::string replicaBoot;
    ReplicaTask replica;
    ServerRegistry registry;
    AdapterPlanner planner;
    DemandTable demands;
    Timer planTimer;
    AllowanceLedger allowances;
    Timer leaseTimer;
    CrashAttribution crashes;
    /// The acquitted suspects that are still in quarantine by the replicated state.
    std::set<CrashSuspect> acquittedSuspects;
    /// The suspects whose answers entries report, and when they were set.
    std::set<CrashSuspect> watchedSuspects;
    TimePoint watchedSuspectsSetAt;
    Timer crashTimer;
    /// Whether entries have reported crashes or answered suspects since the last evaluation, or another one is due for
    /// another reason.
    bool crashesReported = false;
    UpdateFeed feed;
    OrderDispatcher dispatcher;
    FleetControl control;
    std::shared_ptr<MemoryBudget> clientMemory;
    HttpServer http;
    EntryLinks links;
    MetricsEndpoint metricsEndpoint;
    std::shared_ptr<const DeploymentConfiguration> configuration;
    /// Whether this host is leader, including the first MaxSuspension of a suspension.
    bool leading = false;
    /// Number of suspensions of leadership since the start of the process, and whether the last one lasts.
    std::uint64_t suspensionCount = 0;
    bool suspended = false;
    TimePoint leadershipStartedAt;
    /// The term of this leadership. The replica may have adopted a later one whose leader is another host.
    std::uint64_t leadershipTerm = 0;
    /// Number of times that this host has become or ceased to be leader since the start of the process. A task compares
    /// this number with the one at its own start to detect that the leadership in which it was started has ended.
    std::uint64_t leadershipCount = 0;
    /// Number of the last task started by proposeServerRecord(), used in its name.
    std::uint64_t recordTaskCount = 0;
    TimePoint loadsUpdatedAt;
    /// Reports of entries, and crashes with their suspects in them, since the start of the process.
    std::uint64_t reportCount = 0;
    std::uint64_t crashEvidenceCount = 0;
    /// The longest delay of the event loop since it was last logged.
    milliseconds maxDelay{0};
};

} // namespace tamarackcove
