#pragma once

#include "tamarackcove/Fleet/AdapterLoadTime.h"
#include "tamarackcove/Fleet/CachedAdapters.h"
#include "tamarackcove/Fleet/ServerOrder.h"
#include "tamarackcove/Fleet/ServerRecord.h"
#include "tamarackcove/Fleet/ServiceProfile.h"
#include "tamarackcove/Fleet/StoreLoadWindow.h"

#include <boost/container/flat_map.hpp>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// Decides which server loads and unloads which weights. Used by the control host that holds the order duty: the role
/// of the one control host that may order servers to load and unload weights.
///
/// The adapter slots and the memory of a server are never exceeded: a slot counts as occupied from the moment a load is
/// ordered until the server itself has confirmed that the slot is free. Orders to one server are issued one at a time.
/// Each order states how many orders the server must have accepted before it, and the server refuses the order if its
/// own count differs.
///
/// Thread safety: used on one thread.
class AdapterPlanner
{
public:
    struct Options
    {
        /// Expected time for a server to load an adapter from the store, learned from loads that end late, and from a
        /// copy in its own memory. Servers do not report the end of an adapter load, so entries send requests for the
        /// adapter after the expected time, and send them again while the server refuses them because the load is still
        /// in progress.
        AdapterLoadTime::Options storeLoadTime{};
        milliseconds memoryLoadTime{30};
        StoreLoadWindow::Options store{};
        /// Adapter loads that may be in progress at one server at a time (a limit of the engines).
        int maxInTransitPerServer = 4;
        /// An adapter is loaded on one server, plus one further server for each group of this many requests that wait
        /// for it.
        int waitingRequestsPerCopy = 4;
        /// An adapter whose load ended, or that was last used, less than this time ago is not evicted: the requests
        /// that wait for the load are sent when it ends, and entries report them to the planner up to 200 ms later. A
        /// server that unloads an adapter in use accepts no other order until the requests that use it have ended.
        milliseconds minIdle{600};
        /// Replaces minIdle when no adapter of the server has been idle for minIdle. It is still longer than the
        /// interval of 200 ms at which entries report requests.
        milliseconds minIdleUnderPressure{250};
        /// A request that has waited longer than this for its adapter misses its latency goal even if the adapter is
        /// loaded next, because goals are not much longer than an adapter load plus the prefill of a prompt. Adapters
        /// with a more recent request are loaded first.
        milliseconds maxOnTimeWait{450};
        /// A queued load is dropped when no entry has asked for the adapter for this long: the requests that waited for
        /// it are no longer waiting.
        milliseconds demandRetention{500};
        /// Half-life of the estimate of an adapter's request rate.
        milliseconds rateHalfLife{1500};
        /// Shortest time between two checks whether an adapter needs another copy. A check visits every server.
        milliseconds copyCheckInterval{100};
        /// Requests per second, averaged over the copies of an adapter, above which another copy is loaded. The prefill
        /// of a prompt delays all other requests of the server, so a hot adapter is spread before its servers are full.
        double requestRatePerCopy = 6;
        /// Replaces requestRatePerCopy while all servers that hold the adapter have a high request load, because they
        /// are slow or hold other hot adapters.
        double requestRatePerCopyAtHighLoad = 1.5;
        /// A server has a high request load when the weight of its requests in progress is at least this share of its
        /// request slots and more than highLoadRatio times the average weight over all servers.
        double highLoadSlotShare = 0.25;
        double highLoadRatio = 1.6;
        /// Number of adapters of which an engine is assumed to keep a copy in its memory, for each of its adapter
        /// slots. State reads do not list these copies.
        std::size_t cachedPerAdapterSlot = 6;
        /// Shortest time from the previous read of the state of a server to the next one, and from an order that made
        /// the state uncertain, such as one without an answer, to the read that follows it.
        milliseconds stateReadDelay{250};
        /// Upper bound on the age of the state that a server reports.
        milliseconds maxReportAge{400};
    };

    /// What the task that issues the orders to one server does next.
    struct Step
    {
        enum class Kind {
            Wait,
            ReadState,
            Order,
        };
        Kind kind = Kind::Wait;
        /// For Wait: when to call nextStep() again, unless takeWakeups() names the server before.
        TimePoint until = TimePoint::max();
        /// For Order: the order to send. The caller sets its holder and fence.
        ServerOrder order{};
    };

    /// A change in the adapters that a server holds, for the entries.
    struct HoldingChange
    {
        TargetId server;
        AdapterKey adapter;
        /// 0 when the server no longer holds the adapter.
        std::uint64_t version = 0;
        /// The time from which the server is expected to serve requests for the adapter; meaningless for version 0.
        TimePoint readyAt;
    };

    /// Numbers of adapter copies, each summed over all servers.
    struct Totals
    {
        /// Copies that the servers are expected to have finished loading.
        std::size_t held = 0;
        /// Copies whose load was ordered and is expected to be still in progress.
        std::size_t loading = 0;
        /// Copies whose load is queued and was not ordered yet.
        std::size_t wanted = 0;
        /// The copies counted in `loading` that are loaded from the store, not from the memory of the server.
        std::size_t fromStore = 0;
    };

    explicit AdapterPlanner(Options options);

    /// Removes all servers, their queued loads and the changes that takeChanges() has not returned yet. Called when
    /// this host becomes leader or stops being leader, because another control host may issue orders meanwhile. Keeps
    /// the newest versions of adapters and the window of storeLoadWindow().
    void reset();
    /// Adds or updates a server from its heartbeat. Precondition: the service of the server has an engine, with this
    /// profile.
    void updateServer(const ServerHeartbeat &server, bool draining, const EngineProfile &profile, TimePoint now);
    void removeServer(const TargetId &id);
    /// Completes a Step::Kind::ReadState with the state from the answer of the server. `readStartedAt` is when the
    /// state request was sent.
    void applyReport(const ServerIdentity &server, const ServerReport &report, TimePoint readStartedAt, TimePoint now);
    /// Completes a Step::Kind::ReadState that got no valid answer; the state is read again after
    /// Options::stateReadDelay.
    void handleReadFailure(const ServerIdentity &server, TimePoint now);
    /// Completes a Step::Kind::Order with the outcome of the order.
    void applyOrderOutcome(const ServerOrder &order, OrderOutcome outcome, TimePoint now);
    /// Queues a load of an adapter, if the copies that are held or queued are too few for the requests that wait for
    /// the adapter. `zone` is the zone of the entry that asks; `waitingRequests` counts the requests of all entries
    /// that wait for the adapter. `failed` is the largest number of servers that have failed one of these requests;
    /// this many additional copies are loaded. Returns the server that will load it, or nothing if no load was queued.
    std::optional<TargetId> requestLoad(const AdapterKey &adapter, std::uint64_t version, const Zone &zone,
                                        int waitingRequests, TimePoint now, int failed = 0);
    /// Records what an entry reports about the use of an adapter at a server: `requests` is the number of requests that
    /// it has sent there after its previous report, `running` the number that it has in progress there. May queue a
    /// load of a further copy on another server.
    void recordUse(const TargetId &server, const AdapterKey &adapter, const EntryId &entry, int requests, int running,
                   TimePoint now);
    /// Sets the request load of a server: the total weight of the requests that all entries have in progress there; an
    /// ordinary request weighs 1.
    void setLoad(const TargetId &server, double load);
    /// Removes the requests in progress of an entry that has disconnected from this control host.
    void removeEntry(const EntryId &entry);
    /// Adds adapters that a server has held before it was added to this planner, the least recently held first. The
    /// server is assumed to keep copies of these adapters in memory.
    void addCachedAdapters(const ServerIdentity &server, const std::vector<AdapterKey> &adapters);
    /// Records that a server was still loading an adapter when the time `by` had passed since the expected end of the
    /// load.
    void recordLateLoad(const TargetId &server, const AdapterKey &adapter, milliseconds by, TimePoint now);
    /// Schedules another read of the state of a server that refused a request because it does not hold an adapter that
    /// this planner lists as held.
    void handleMissingAdapter(const TargetId &server, const AdapterKey &adapter, TimePoint now);
    /// Sets the newest version of an adapter. Servers that hold an older one load the new one, one server after
    /// another.
    void setNewestVersion(const AdapterKey &adapter, std::uint64_t version, TimePoint now);
    /// Until the given time, requestLoad() does not count the adapters that the server holds, and neither requestLoad()
    /// nor recordUse() queues a load on the server: an entry cannot reach it, so it may have crashed.
    void markUnreachable(const TargetId &server, TimePoint until);

    /// Returns the next step for a server. A step other than Wait is in progress until applyReport(),
    /// handleReadFailure() or applyOrderOutcome() is called; until then this returns Wait.
    [[nodiscard]] Step nextStep(const TargetId &server, TimePoint now);
    /// Returns the servers whose next step may have changed since the previous call.
    [[nodiscard]] std::vector<TargetId> takeWakeups();
    /// Returns the changes in the adapters that servers hold or load since the previous call.
    [[nodiscard]] std::vector<HoldingChange> takeChanges();
    /// All adapters that servers hold or load, each as a change. Sent to an entry that has not received holdings from
    /// this host yet.
    [[nodiscard]] std::vector<HoldingChange> holdings() const;
    /// Servers whose state is known, so that holdings() lists all adapters that they hold.
    [[nodiscard]] std::vector<TargetId> serversWithKnownState() const;
    [[nodiscard]] Totals totals(TimePoint now) const;
    [[nodiscard]] const StoreLoadWindow &storeLoadWindow() const;
    /// How long a load from the store is expected to take.
    [[nodiscard]] milliseconds storeLoadTime() const;
    /// Adapter loads from the store that are expected to be in progress, over all servers.
    [[nodiscard]] std::size_t storeLoadsInTransit(TimePoint now) const;

private:
    /// One adapter at one server, from the order to load it until it is unloaded.
    struct AdapterCopy
    {
        std::uint64_t version = 0;
        /// When the load has ended or is expected to end.
        TimePoint readyAt;
        /// The latest of these times: requests for the copy were recorded, the order to load it was issued, accepted or
        /// left unanswered, a state read listed the copy for the first time, its unload failed.
        TimePoint lastUse;
        /// Requests per second, as estimated at lastUse; see currentRate().
        double rate = 0;
        bool unloading = false;
        bool fromStore = false;
        /// The order to load the adapter was not answered, so the server may still carry it out. The adapter counts as
        /// occupying a slot until the server accepts another order; from then on the server refuses the unanswered
        /// order, because its count of accepted orders no longer matches.
        bool loadUnanswered = false;
        /// Whether the load of this copy has been recorded as late or on time in m_storeLoadWindow.
        bool loadTimeRecorded = false;
        /// Whether the load of this copy has been recorded as late in m_storeLoadTime, and as so late that the store
        /// may be congested in m_storeLoadWindow.
        bool lateLoadRecorded = false;
        bool congestionRecorded = false;
        /// When it was last checked whether the adapter needs another copy.
        TimePoint copiesCheckedAt;
        /// Number of requests in progress that use the copy, by entry.
        boost::container::flat_map<EntryId, int> running;
    };
    /// An adapter load that is queued for one server, and not ordered yet.
    struct QueuedLoad
    {
        AdapterKey adapter;
        std::uint64_t version = 0;
        /// When the newest request began to wait for the adapter, as estimated from the reports of entries: set when
        /// the load is queued and whenever the number of waiting requests has increased.
        TimePoint newestRequestAt;
        /// When an entry last asked for the adapter. TimePoint::max() exempts the load from demandRetention, so that it
        /// stays queued until it is ordered.
        TimePoint lastDemandAt;
        /// Requests of all entries that wait for the adapter; 0 for a further copy of an adapter that no request waits
        /// for.
        int waitingRequests = 0;
        /// Whether the load replaces an older version, or repeats an order that was not answered.
        bool isReplacement = false;
        /// Earliest time at which the load may be ordered.
        TimePoint notBefore{};
    };
    struct Server
    {
        ServerIdentity identity;
        Endpoint endpoint;
        Zone zone;
        EngineProfile profile;
        bool draining = false;
        /// See markUnreachable(): until then, requestLoad() does not count the adapters of this server, and neither
        /// requestLoad() nor recordUse() queues a load on it.
        TimePoint unreachableUntil{};
        /// Request load: weight of the requests that all entries have in progress at this server.
        double load = 0;
        /// Whether the state of the server was read and has not become uncertain since. Orders are issued only while
        /// this is true.
        bool stateKnown = false;
        /// When the state of the server was last read, or became uncertain.
        TimePoint stateReadAt;
        /// Orders that the server has accepted after its start.
        std::uint64_t ordersAccepted = 0;
        /// The server accepts no order: it loads or unloads a model, or an unload waits for the requests in progress.
        bool busy = false;
        std::map<BaseModel, std::uint64_t> models;
        /// Base models that the server was ordered to load, with the time at which the load counts as failed.
        std::map<BaseModel, TimePoint> modelsLoading;
        /// Few and visited often: a decision that compares servers visits all adapters of each.
        boost::container::flat_map<AdapterKey, AdapterCopy> adapters;
        CachedAdapters cached;
        std::deque<QueuedLoad> queuedLoads;
        /// Whether an order or a read of the state is in progress.
        bool stepInProgress = false;
        /// Unload orders in a row that ended with OrderOutcome::Conflict.
        int consecutiveConflicts = 0;
        /// Adapter orders in a row that were not answered.
        int consecutiveUnanswered = 0;
    };

    [[nodiscard]] bool hasHighLoad(const Server &server) const;
    /// The request rate of an adapter at one server in requests per second, decayed exponentially from its last use
    /// until now.
    [[nodiscard]] double currentRate(const AdapterCopy &copy, TimePoint now) const;
    /// Adapter loads at the server that are expected to be in progress.
    [[nodiscard]] int inTransit(const Server &server, TimePoint now) const;
    /// Whether a slot and the memory for another adapter of the model are free.
    [[nodiscard]] bool hasRoom(const Server &server, const BaseModel &model) const;
    /// Whether the known adapters and the unanswered loads of the server exceed its slots or its memory.
    [[nodiscard]] bool isOverfull(const Server &server) const;
    [[nodiscard]] static double usedMemoryMb(const Server &server);
    /// The adapter to unload so that another one can be loaded; nothing if every adapter of the server has requests in
    /// progress, was used or loaded too recently, is unloading, has an unanswered load order or has a queued load.
    [[nodiscard]] std::optional<AdapterKey> evictionCandidate(const Server &server, TimePoint now) const;
    /// The adapter with the lowest request rate among those that may be evicted and have been idle for `minIdle`;
    /// nothing if there is none.
    [[nodiscard]] std::optional<AdapterKey> leastUsedIdle(const Server &server, TimePoint now,
                                                          milliseconds minIdle) const;
    /// The cost of loading the adapter on the server, in milliseconds; the server with the lowest cost loads it.
    [[nodiscard]] double cost(const Server &server, const AdapterKey &adapter, const Zone &zone, TimePoint now) const;
    /// Updates the queued load of an adapter at the server. Returns false if there is none, or if it was removed
    /// because the server cannot free a slot soon.
    [[nodiscard]] bool refreshQueuedLoad(Server &server, const AdapterKey &adapter, int waitingRequests,
                                         TimePoint now) const;
    /// Whether `first` is ordered before `second` at the same server.
    [[nodiscard]] bool hasPriorityOver(const QueuedLoad &first, const QueuedLoad &second, TimePoint now) const;
    void handleUnansweredOrder(Server &server, const ServerOrder &order, TimePoint now);
    /// The step that loads a base model on a server that holds none; Wait without an end if the server holds one.
    [[nodiscard]] Step nextModelStep(Server &server, TimePoint now);
    /// The step for the queued load with the highest priority: its order, or that of the eviction it needs.
    [[nodiscard]] Step nextAdapterStep(Server &server, TimePoint now);
    [[nodiscard]] static Step orderStep(const Server &server, ServerOrder::Action action, AdapterKey weights,
                                        std::uint64_t version);
    /// Sets or replaces a copy and adds the change to m_changes. Keeps the request rate and the requests in progress of
    /// a copy that is replaced.
    void setCopy(Server &server, const AdapterKey &adapter, AdapterCopy copy);
    void removeCopy(Server &server, const AdapterKey &adapter);
    /// Number of adapters of which the server is assumed to keep a copy in its memory.
    [[nodiscard]] std::size_t maxCached(const Server &server) const;
    void wake(const TargetId &id);

    Options m_options;
    StoreLoadWindow m_storeLoadWindow;
    AdapterLoadTime m_storeLoadTime;
    std::map<TargetId, Server> m_servers;
    /// The newest version of each adapter, as set by setNewestVersion().
    std::map<AdapterKey, std::uint64_t> m_versions;
    std::vector<TargetId> m_wakeups;
    std::vector<HoldingChange> m_changes;
    /// Sum of the request loads of all servers.
    double m_totalLoad = 0;
    /// Times at which the recent loads of base models from the store were ordered. Used to limit the rate of these
    /// loads to EngineProfile::storeLoadsPerSecond.
    std::deque<TimePoint> m_recentModelLoads;
};

} // namespace tamarackcove
