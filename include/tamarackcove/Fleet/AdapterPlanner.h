#pragma once

#include "tamarackcove/Fleet/ServerOrder.h"
#include "tamarackcove/Fleet/ServerRecord.h"
#include "tamarackcove/Fleet/ServiceProfile.h"
#include "tamarackcove/Fleet/StoreLoads.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// Decides which server loads and unloads which weights. Used by the control host that has the duty to order servers.
///
/// A server's places and memory are never exceeded: a place counts as taken from the moment of the order until the
/// server itself has said that it is free. Orders to one server are given one after the other, each with the number of
/// orders that the server must have accepted before. Thread safety: used on one thread.
class AdapterPlanner
{
public:
    struct Options
    {
        /// How long a server takes to load an adapter from the store and from its own memory. The server does not say
        /// when a load has ended, so requests are sent after this time and repeated while the load is still in
        /// progress.
        milliseconds storeLoad{255};
        milliseconds memoryLoad{30};
        StoreLoads::Options store{};
        /// Adapters that may be on their way to one server (a limit of the engines).
        int maxInTransitPerServer = 4;
        /// An adapter that more requests wait for is loaded by several servers at once.
        int waitingPerCopy = 4;
        /// An adapter that was loaded or used within this time is not evicted: the requests that wait for it are sent
        /// when it is ready, and entries report them up to 200 ms later. A server that unloads an adapter in use takes
        /// no other order until those requests have ended.
        milliseconds minIdle{600};
        /// The same when nothing else can be evicted and requests wait: the time that a report of a use takes.
        milliseconds minIdleUnderPressure{250};
        /// Requests that have waited for longer than this are late whatever is done, because goals are not much longer
        /// than a load and the reading of a prompt; others come before them.
        milliseconds timely{450};
        /// A demand that no entry has repeated for this long is dropped: its requests have given up.
        milliseconds demandRetention{500};
        /// Half-life of the estimate of an adapter's request rate.
        milliseconds rateHalfLife{1500};
        /// How often it is considered whether an adapter needs further copies. The cost grows with the servers.
        milliseconds weighInterval{100};
        /// Requests per second that one copy of an adapter takes before another copy is loaded. A prompt that is read
        /// delays all other requests of the server, so a hot adapter is spread before a server is full.
        double requestsPerCopy = 6;
        /// The same while the servers that hold the adapter are crowded, because they are slow or hold other hot ones.
        double requestsPerCrowdedCopy = 1.5;
        /// A server is crowded above this share of its slots, if it has as many times the average load in progress.
        double crowdedShare = 0.25;
        double crowdedRatio = 1.6;
        /// Copies of adapters that an engine keeps in memory, for each of its places. Engines do not report them.
        std::size_t cachedPerPlace = 6;
        /// An order without an answer is followed by a reading of the server's state after this time.
        milliseconds retryAfterUnknown{250};
        /// State that a server reports is this old at most.
        milliseconds reportAge{400};
    };

    /// What the task of a server does next.
    struct Step
    {
        enum class Kind {
            Wait,
            ReadState,
            Order,
        };
        Kind kind = Kind::Wait;
        /// For Wait: when to ask again without a change.
        TimePoint until = TimePoint::max();
        /// For Order; holder and fence are filled in by the caller.
        ServerOrder order{};
    };

    /// A change in what a server holds, as entries need it.
    struct HoldingChange
    {
        TargetId server;
        AdapterKey adapter;
        /// 0 when the server no longer holds it.
        std::uint64_t version = 0;
        /// When requests may use it.
        TimePoint readyAt;
    };

    /// Copies of adapters over all servers.
    struct Totals
    {
        std::size_t held = 0;
        /// Ordered, and not expected to be ready yet.
        std::size_t loading = 0;
        /// Decided on, and not ordered yet.
        std::size_t wanted = 0;
        /// Of those that are loading, the ones from the store.
        std::size_t fromStore = 0;
    };

    explicit AdapterPlanner(Options options);

    /// Forgets everything: another control host may have given orders meanwhile.
    void reset();
    /// A server that is offered, with the profile of its service. Servers without an engine are passed over.
    void serverSeen(const ServerHeartbeat &server, bool draining, const EngineProfile &profile, TimePoint now);
    void serverGone(const TargetId &id);
    /// The state that a server has reported; `asked` is when it was asked.
    void reported(const ServerIdentity &server, const ServerReport &report, TimePoint asked, TimePoint now);
    void readFailed(const ServerIdentity &server, TimePoint now);
    void orderEnded(const ServerOrder &order, OrderOutcome outcome, TimePoint now);
    /// Requests wait for an adapter, in one zone or in several. Servers that have failed such a request do not count as
    /// holding it. Returns the server that was told to load it.
    std::optional<TargetId> demand(const AdapterKey &adapter, std::uint64_t version, const Zone &zone, int waiting,
                                   TimePoint now, int failed = 0);
    /// An entry has sent requests to a server since it last said so, and has some in progress.
    void used(const TargetId &server, const AdapterKey &adapter, const EntryId &entry, int requests, int running,
              TimePoint now);
    /// What all entries have in progress at a server, in units of an ordinary request.
    void setLoad(const TargetId &server, double load);
    /// An entry is gone, and with it its requests.
    void entryGone(const EntryId &entry);
    /// Adapters that a server has held before this planner began, the least recent first.
    void recall(const ServerIdentity &server, const std::vector<AdapterKey> &adapters);
    /// A server was still loading an adapter so long after the load should have ended.
    void overdue(const TargetId &server, const AdapterKey &adapter, milliseconds by, TimePoint now);
    /// A server has said that it does not hold an adapter that this planner believes it to hold.
    void missing(const TargetId &server, const AdapterKey &adapter, TimePoint now);
    /// A version of an adapter has been named; servers that hold an older one load it.
    void versionNamed(const AdapterKey &adapter, std::uint64_t version, TimePoint now);
    /// Entries cannot reach a server, which may have crashed. Until then it counts as holding nothing.
    void suspect(const TargetId &server, TimePoint until);

    [[nodiscard]] Step next(const TargetId &server, TimePoint now);
    /// Servers whose next step may have changed since the last call.
    [[nodiscard]] std::vector<TargetId> takeWakeups();
    [[nodiscard]] std::vector<HoldingChange> takeChanges();
    /// All holdings, as changes from nothing.
    [[nodiscard]] std::vector<HoldingChange> holdings() const;
    [[nodiscard]] Totals totals(TimePoint now) const;
    [[nodiscard]] const StoreLoads &storeLoads() const;
    [[nodiscard]] std::size_t storeLoadsInTransit(TimePoint now) const;

private:
    struct Held
    {
        std::uint64_t version = 0;
        TimePoint readyAt;
        TimePoint lastUse;
        /// Requests per second, at the time of the last use.
        double rate = 0;
        bool unloading = false;
        bool fromStore = false;
        /// An order to load it was not answered. It holds its place until the server accepts another order, which makes
        /// the server refuse the one before.
        bool uncertain = false;
        /// Whether it is known if the load came in time.
        bool timed = false;
        /// When it was last considered whether further copies are needed.
        TimePoint weighedAt;
        /// Requests in progress, by entry.
        std::map<EntryId, int> running;
    };
    struct Wanted
    {
        AdapterKey adapter;
        std::uint64_t version = 0;
        /// When the last request began to wait for it.
        TimePoint since;
        /// When an entry last said that requests wait for it.
        TimePoint asked;
        int waiting = 0;
        /// Whether it replaces an older version or an order that was not answered.
        bool replaces = false;
        /// Not ordered before.
        TimePoint notBefore{};
    };
    struct Server
    {
        ServerIdentity identity;
        Endpoint endpoint;
        Zone zone;
        EngineProfile profile;
        bool draining = false;
        TimePoint suspectUntil{};
        double load = 0;
        /// Whether its state was read since this planner began or an order stayed unanswered.
        bool known = false;
        TimePoint readAt;
        std::uint64_t ordersAccepted = 0;
        bool busy = false;
        std::map<BaseModel, std::uint64_t> models;
        std::map<BaseModel, TimePoint> modelsLoading;
        std::map<AdapterKey, Held> adapters;
        std::deque<AdapterKey> cached;
        std::deque<Wanted> wanted;
        /// Whether an order or a reading is in progress.
        bool engaged = false;
        /// Orders that conflicted, or were not answered, one after the other.
        int conflicts = 0;
        int unanswered = 0;
    };

    [[nodiscard]] bool crowded(const Server &server) const;
    [[nodiscard]] double rateNow(const Held &held, TimePoint now) const;
    [[nodiscard]] int inTransit(const Server &server, TimePoint now) const;
    [[nodiscard]] bool hasRoom(const Server &server, const BaseModel &model) const;
    /// The adapter that is evicted for another one, if any can be.
    [[nodiscard]] std::optional<AdapterKey> victim(const Server &server, TimePoint now) const;
    /// The adapter with the fewest requests among those that have been idle for some time.
    [[nodiscard]] std::optional<AdapterKey> idlest(const Server &server, TimePoint now, milliseconds minIdle) const;
    [[nodiscard]] double cost(const Server &server, const AdapterKey &adapter, const Zone &zone, TimePoint now) const;
    [[nodiscard]] static bool cachedAt(const Server &server, const AdapterKey &adapter);
    /// Whether the server is to load the adapter already. If it cannot make room for it soon, the demand is dropped.
    [[nodiscard]] bool repeatDemand(Server &server, const AdapterKey &adapter, int waiting, TimePoint now) const;
    /// Whether one demand is taken up before another one of the same server.
    [[nodiscard]] bool isBefore(const Wanted &first, const Wanted &second, TimePoint now) const;
    void orderUnanswered(Server &server, const ServerOrder &order, TimePoint now);
    [[nodiscard]] Step modelStep(Server &server, TimePoint now);
    [[nodiscard]] Step adapterStep(Server &server, TimePoint now);
    [[nodiscard]] static Step orderStep(const Server &server, ServerOrder::Action action, AdapterKey weights,
                                        std::uint64_t version);
    void setHeld(Server &server, const AdapterKey &adapter, Held held);
    void drop(Server &server, const AdapterKey &adapter);
    void noteCached(Server &server, const AdapterKey &adapter);
    void wake(const TargetId &id);

    Options m_options;
    StoreLoads m_storeLoads;
    std::map<TargetId, Server> m_servers;
    std::map<AdapterKey, std::uint64_t> m_versions;
    std::vector<TargetId> m_wakeups;
    std::vector<HoldingChange> m_changes;
    double m_loadSum = 0;
    /// Recent loads of models from the store, to stay below its rate.
    std::deque<TimePoint> m_modelLoads;
};

} // namespace tamarackcove
