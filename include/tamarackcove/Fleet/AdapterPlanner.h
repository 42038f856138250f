#pragma once

#include "tamarackcove/Fleet/ServerOrder.h"
#include "tamarackcove/Fleet/ServerRecord.h"
#include "tamarackcove/Fleet/ServiceProfile.h"
#include "tamarackcove/Fleet/StoreLoadWindow.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// Decides which server loads and unloads which weights. Used by the control host that holds the order duty.
///
/// The adapter slots and the memory of a server are never exceeded: a slot counts as occupied from the moment a load is
/// ordered until the server itself has confirmed that the slot is free. Orders to one server are issued one at a time.
/// Each names the number of orders that the server must have accepted before it.
///
/// Thread safety: used on one thread.
class AdapterPlanner
{
public:
    struct Options
    {
        /// Expected time for a server to load an adapter from the store, and from a copy in its own memory. Servers do
        /// not report the end of a load, so requests are sent after this time and repeated while the load is still in
        /// progress.
        milliseconds storeLoadTime{255};
        milliseconds memoryLoadTime{30};
        StoreLoadWindow::Options store{};
        /// Adapter loads that may be in progress at one server at a time (a limit of the engines).
        int maxInTransitPerServer = 4;
        /// An adapter is loaded on one server, and on a further server for every this many requests that wait for it.
        int waitingRequestsPerCopy = 4;
        /// An adapter that became ready or received a request within this time is not evicted: the requests that wait
        /// for a load are sent when it is ready, and entries report them up to 200 ms later. A server that unloads an
        /// adapter in use accepts no other order until the requests that use it have ended.
        milliseconds minIdle{600};
        /// Replaces minIdle when no adapter has been idle for that long. Covers the delay of the entries' reports.
        milliseconds minIdleUnderPressure{250};
        /// A request that has waited longer than this misses its goal even if its adapter is loaded next, because goals
        /// are not much longer than a load plus the prefill of a prompt. More recent requests are served before it.
        milliseconds maxOnTimeWait{450};
        /// A queued load that no entry has asked for within this time is dropped: the requests that waited have given
        /// up.
        milliseconds demandRetention{500};
        /// Half-life of the estimate of an adapter's request rate.
        milliseconds rateHalfLife{1500};
        /// Shortest time between two checks whether an adapter needs another copy. A check visits every server.
        milliseconds copyCheckInterval{100};
        /// Requests per second for each copy of an adapter above which another copy is loaded. The prefill of a prompt
        /// delays all other requests of the server, so a hot adapter is spread before its servers are full.
        double requestRatePerCopy = 6;
        /// Replaces requestRatePerCopy while all servers that hold the adapter have a high load, because they are slow
        /// or hold other hot adapters.
        double requestRatePerCopyAtHighLoad = 1.5;
        /// A server has a high load when its load is at least this share of its slots and more than highLoadRatio times
        /// the average over all servers.
        double highLoadSlotShare = 0.25;
        double highLoadRatio = 1.6;
        /// Adapters of which an engine is assumed to keep a copy in its memory, for each of its adapter slots. Engines
        /// do not report these copies.
        std::size_t cachedPerAdapterSlot = 6;
        /// The state of a server is read at the earliest this long after the previous read, or after the order that
        /// made the state uncertain, such as one without an answer.
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
        /// From when on the server is expected to serve requests for the adapter.
        TimePoint readyAt;
    };

    /// Numbers of adapter copies over all servers.
    struct Totals
    {
        /// Expected to be loaded.
        std::size_t held = 0;
        /// Load ordered, and not expected to have ended yet.
        std::size_t loading = 0;
        /// Load decided on, and not ordered yet.
        std::size_t wanted = 0;
        /// The part of `loading` that comes from the store.
        std::size_t fromStore = 0;
    };

    explicit AdapterPlanner(Options options);

    /// Removes all servers, their queued loads and the changes not yet taken, because another control host may have
    /// issued orders meanwhile. Keeps the newest versions of adapters and the store window.
    void reset();
    /// Adds or updates a server that takes requests. Precondition: its service has an engine, with this profile.
    void updateServer(const ServerHeartbeat &server, bool draining, const EngineProfile &profile, TimePoint now);
    void removeServer(const TargetId &id);
    /// Takes over the state that a server has answered to a read that began at `readStartedAt`.
    void applyReport(const ServerIdentity &server, const ServerReport &report, TimePoint readStartedAt, TimePoint now);
    /// Ends a Step::Kind::ReadState without a result; the read is repeated.
    void handleReadFailure(const ServerIdentity &server, TimePoint now);
    /// Ends a Step::Kind::Order with what became of the order.
    void applyOrderOutcome(const ServerOrder &order, OrderOutcome outcome, TimePoint now);
    /// Queues a load of an adapter, if the copies that are held or queued are too few for the requests that wait for
    /// it. The zone is that of the entry that asks; the waiting requests are those of all entries. `failed` is the
    /// number of servers that have failed such a request; they do not count as holding the adapter. Returns the server
    /// that will load it, or nothing if no load was queued.
    std::optional<TargetId> requestLoad(const AdapterKey &adapter, std::uint64_t version, const Zone &zone,
                                        int waitingRequests, TimePoint now, int failed = 0);
    /// Records requests for an adapter: those that the entry has sent to the server after its previous report, and
    /// those that it has in progress there. May queue a load of a further copy.
    void recordUse(const TargetId &server, const AdapterKey &adapter, const EntryId &entry, int requests, int running,
                   TimePoint now);
    /// Sets the weight of the requests that all entries have in progress at a server; an ordinary request weighs 1.
    void setLoad(const TargetId &server, double load);
    /// Removes the requests in progress of an entry that has gone.
    void removeEntry(const EntryId &entry);
    /// Adds adapters that a server has held before this planner saw it, the least recent first. The server is assumed
    /// to keep copies of them in memory.
    void addCachedAdapters(const ServerIdentity &server, const std::vector<AdapterKey> &adapters);
    /// Records that a server was still loading an adapter this long (`by`) after the expected end of the load.
    void recordLateLoad(const TargetId &server, const AdapterKey &adapter, milliseconds by, TimePoint now);
    /// Has the state of a server read again: it refused a request because it does not hold an adapter that this planner
    /// lists as held.
    void handleMissingAdapter(const TargetId &server, const AdapterKey &adapter, TimePoint now);
    /// Sets the newest version of an adapter. Servers that hold an older one load the new one, one server after
    /// another.
    void setNewestVersion(const AdapterKey &adapter, std::uint64_t version, TimePoint now);
    /// Treats a server as holding nothing until the given time, because entries cannot reach it and it may have
    /// crashed.
    void markUnreachable(const TargetId &server, TimePoint until);

    /// The next step for a server. A step other than Wait is in progress until applyReport(), handleReadFailure() or
    /// applyOrderOutcome() is called; until then this returns Wait.
    [[nodiscard]] Step nextStep(const TargetId &server, TimePoint now);
    /// Servers whose next step may have changed after the previous call.
    [[nodiscard]] std::vector<TargetId> takeWakeups();
    /// Changes in holdings after the previous call.
    [[nodiscard]] std::vector<HoldingChange> takeChanges();
    /// All adapters that servers hold or load, for an entry that has no earlier state.
    [[nodiscard]] std::vector<HoldingChange> holdings() const;
    [[nodiscard]] Totals totals(TimePoint now) const;
    [[nodiscard]] const StoreLoadWindow &storeLoadWindow() const;
    /// Adapter loads from the store that are expected to be in progress, over all servers.
    [[nodiscard]] std::size_t storeLoadsInTransit(TimePoint now) const;

private:
    /// One adapter at one server, from the order to load it until it is unloaded.
    struct AdapterCopy
    {
        std::uint64_t version = 0;
        /// When the load has ended or is expected to end.
        TimePoint readyAt;
        /// When requests for the copy were last recorded, the copy was ordered or first seen, or its unload failed.
        TimePoint lastUse;
        /// Requests per second, at the time of the last use.
        double rate = 0;
        bool unloading = false;
        bool fromStore = false;
        /// The order to load the adapter was not answered. The adapter occupies its slot until the server accepts
        /// another order, because the server refuses the unanswered one after that.
        bool loadUnanswered = false;
        /// Whether this load has been recorded as late or on time in the store window.
        bool loadTimeRecorded = false;
        /// When it was last checked whether the adapter needs another copy.
        TimePoint copiesCheckedAt;
        /// Requests in progress, by entry.
        std::map<EntryId, int> running;
    };
    /// A load that is decided on for one server, and not ordered yet.
    struct QueuedLoad
    {
        AdapterKey adapter;
        std::uint64_t version = 0;
        /// When the newest request began to wait for the adapter.
        TimePoint newestRequestAt;
        /// When an entry last asked for the adapter. The maximum keeps the load in the queue until it is ordered.
        TimePoint lastDemandAt;
        /// 0 for a further copy of an adapter that no request waits for.
        int waitingRequests = 0;
        /// Whether the load replaces an older version, or repeats an order that was not answered.
        bool isReplacement = false;
        /// Earliest time of the order.
        TimePoint notBefore{};
    };
    struct Server
    {
        ServerIdentity identity;
        Endpoint endpoint;
        Zone zone;
        EngineProfile profile;
        bool draining = false;
        /// Until when the server counts as holding nothing, because entries cannot reach it.
        TimePoint suspectUntil{};
        /// Weight of the requests of all entries in progress.
        double load = 0;
        /// Whether the state was read and has not become uncertain afterwards. Orders are issued only then.
        bool stateKnown = false;
        /// When the state was last read, or became uncertain.
        TimePoint stateReadAt;
        /// Orders that the server has accepted after its start.
        std::uint64_t ordersAccepted = 0;
        /// The server accepts no order: it loads or unloads a model, or an unload waits for the requests in progress.
        bool busy = false;
        std::map<BaseModel, std::uint64_t> models;
        /// When the load of each model is given up.
        std::map<BaseModel, TimePoint> modelsLoading;
        std::map<AdapterKey, AdapterCopy> adapters;
        /// Adapters of which the server is assumed to keep a copy in its memory, the least recent first.
        std::deque<AdapterKey> cached;
        std::deque<QueuedLoad> queuedLoads;
        /// Whether an order or a read of the state is in progress.
        bool stepInProgress = false;
        /// Unload orders in a row that conflicted.
        int consecutiveConflicts = 0;
        /// Orders in a row that were not answered.
        int consecutiveUnanswered = 0;
    };

    [[nodiscard]] bool hasHighLoad(const Server &server) const;
    /// The request rate of an adapter at one server, decayed from its last use until now.
    [[nodiscard]] double currentRate(const AdapterCopy &copy, TimePoint now) const;
    /// Adapter loads at the server that are expected to be in progress.
    [[nodiscard]] int inTransit(const Server &server, TimePoint now) const;
    /// Whether a slot and the memory for another adapter of the model are free.
    [[nodiscard]] bool hasRoom(const Server &server, const BaseModel &model) const;
    /// The adapter to evict for another one; nothing if all are in use, recent or awaited.
    [[nodiscard]] std::optional<AdapterKey> victim(const Server &server, TimePoint now) const;
    /// The adapter with the lowest request rate among those that have been idle for `minIdle`.
    [[nodiscard]] std::optional<AdapterKey> leastUsedIdle(const Server &server, TimePoint now,
                                                          milliseconds minIdle) const;
    /// The cost of loading the adapter on the server, in milliseconds; the server with the lowest cost loads it.
    [[nodiscard]] double cost(const Server &server, const AdapterKey &adapter, const Zone &zone, TimePoint now) const;
    [[nodiscard]] static bool isCached(const Server &server, const AdapterKey &adapter);
    /// Updates the queued load of an adapter at the server. Returns false if there is none, or if it was removed
    /// because the server cannot free a slot soon.
    [[nodiscard]] bool refreshQueuedLoad(Server &server, const AdapterKey &adapter, int waitingRequests,
                                         TimePoint now) const;
    /// Whether `first` is ordered before `second` at the same server.
    [[nodiscard]] bool hasPriorityOver(const QueuedLoad &first, const QueuedLoad &second, TimePoint now) const;
    void handleUnansweredOrder(Server &server, const ServerOrder &order, TimePoint now);
    /// The step that gives an empty server a base model.
    [[nodiscard]] Step modelStep(Server &server, TimePoint now);
    /// The step for the queued load with the highest priority: its order, or that of the eviction it needs.
    [[nodiscard]] Step adapterStep(Server &server, TimePoint now);
    [[nodiscard]] static Step orderStep(const Server &server, ServerOrder::Action action, AdapterKey weights,
                                        std::uint64_t version);
    /// Sets or replaces a copy, keeping the request rate and the requests in progress, and announces the change.
    void setCopy(Server &server, const AdapterKey &adapter, AdapterCopy copy);
    void removeCopy(Server &server, const AdapterKey &adapter);
    void addCached(Server &server, const AdapterKey &adapter);
    void wake(const TargetId &id);

    Options m_options;
    StoreLoadWindow m_storeLoadWindow;
    std::map<TargetId, Server> m_servers;
    /// The newest version of each adapter for which one was set.
    std::map<AdapterKey, std::uint64_t> m_versions;
    std::vector<TargetId> m_wakeups;
    std::vector<HoldingChange> m_changes;
    /// Sum of the loads of all servers.
    double m_loadSum = 0;
    /// Times of the recent loads of models from the store, to stay below its rate.
    std::deque<TimePoint> m_recentModelLoads;
};

} // namespace tamarackcove
