#pragma once

#include "tamarackcove/Fleet/ChoiceReason.h"
#include "tamarackcove/Fleet/LoadEstimate.h"
#include "tamarackcove/Fleet/ServerRecord.h"
#include "tamarackcove/Fleet/ServiceLoad.h"
#include "tamarackcove/Fleet/TimeRatios.h"
#include "tamarackcove/Fleet/UsualTime.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// A server that the control host offers to an entry.
struct OfferedServer
{
    ServerIdentity identity;
    ServiceName service;
    Endpoint endpoint;
    Zone zone;
    /// Requests that the server runs at the same time.
    int slots = 0;
    bool draining = false;
    std::vector<BaseModel> models;
};

/// How a request to a server ended, as far as it shows the health of the server.
enum class ServerOutcome {
    Served,
    /// The server refused the request without running it, because all its slots are in use.
    Full,
    /// Another server has the address now, or the server does not hold the weights that the request needs.
    WrongServer,
    /// The connection failed or broke, or the answer was invalid.
    Broken,
    /// The server answered with an error of its own.
    Failed,
    /// The read of the answer timed out. If the request can fail over, the timeout is a small multiple of the latency
    /// goal of the route; otherwise it is the deadline of the request.
    NoAnswer,
    /// The request ended for a reason outside the server, such as a caller that disconnected.
    Unrelated,
};

/// The servers that an entry may use. Chooses one of them for each request.
///
/// Thread safety: used on one thread.
class ServerDirectory
{
public:
    struct Options
    {
        /// The zone of this entry.
        Zone zone;
        /// Added to the weight of the requests in progress at a server in another zone when servers are compared,
        /// because traffic between zones costs money. An ordinary request weighs 1.
        double otherZonePenalty = 1.5;
        /// Time for which a server is avoided after a broken or missing answer: the server gets requests only if no
        /// other server can take them. Doubles with each such outcome in a row, up to maxAvoidance. A full server is
        /// avoided for a quarter of firstAvoidance.
        milliseconds firstAvoidance{400};
        milliseconds maxAvoidance{3000};
        /// Longest time for which a server gets no requests because it has asked for that.
        milliseconds maxPause{30000};
        /// Largest random addition to such a time, as a fraction of it and at most: entries that were refused together
        /// do not return together.
        double pauseSpread = 0.2;
        milliseconds maxPauseSpread{500};
        /// From this number of connected entries on, servers are chosen at random by their load. An entry then has less
        /// than one request at a server with 6 slots, so that its own count says nothing, and entries that choose the
        /// least loaded server by the same report all choose the same one.
        std::size_t manyEntries = 32;
        std::uint64_t seed = 1;
    };
    /// What a request needs of a server.
    struct Requirements
    {
        ServiceName service;
        /// Absent for plain services, which have no base model and adapters.
        std::optional<BaseModel> model;
        /// Set when the request names an adapter.
        std::optional<AdapterKey> adapter;
        /// Oldest version of the adapter that may serve the request.
        std::uint64_t minVersion = 0;
        /// Servers that must not be chosen, because an earlier attempt of the request at them has failed.
        std::set<TargetId> excluded;
        /// Latency goal for the answer or for the first event; zero if there is none.
        milliseconds goal{0};
        /// Tokens that the request is expected to hold in the memory of the server.
        double memoryTokens = 0;
    };
    struct Choice
    {
        ServerIdentity server;
        Endpoint endpoint;
        Zone zone;
        /// Whether the server is avoided, so that it is chosen only because no other server can take the request.
        bool avoided = false;
        /// The version of the adapter that the server holds; 0 when the request names no adapter.
        std::uint64_t version = 0;
        /// While the server is loading the adapter: when to send the request. Otherwise a time in the past.
        TimePoint readyAt;
        /// When the load of the adapter was first expected to end.
        TimePoint expectedAt;
        ChoiceReason reason = ChoiceReason::LeastLoaded;
        /// The request load per slot by which the server was chosen, and the age of the report that it is based on.
        double load = 0;
        Duration loadAge = Duration::max();
        /// How many times as long as usual the server takes; 1 if it is not slow.
        double slowness = 1;
    };

    explicit ServerDirectory(Options options);

    /// Whether a connection to this start of a server is open and idle, which raises the probability of the server
    /// among servers chosen at random. May be empty.
    std::function<bool(const ServerIdentity &, TimePoint)> hasIdleConnection;

    /// Adds or updates a server. After a restart of the server, everything recorded about its earlier start is
    /// discarded, except for the weight of the requests of this entry that are still in progress there.
    void put(OfferedServer server);
    void remove(const TargetId &id);
    /// Removes all servers but these.
    void keepOnly(const std::set<TargetId> &ids);
    /// Sets the version of an adapter that a server holds or loads, and when its load ends. Version 0 removes the
    /// adapter.
    void setHolding(const TargetId &id, const AdapterKey &adapter, std::uint64_t version, TimePoint readyAt);

    /// Removes all adapters that a server holds.
    void clearHoldings(const TargetId &id);
    /// Sends no request for an adapter to a server before `until`, because the server is still loading the adapter
    /// after the expected end of the load. Has no effect if `until` is earlier than the present ready time.
    void postpone(const TargetId &id, const AdapterKey &adapter, TimePoint until);
    /// Records that this start of a server has stated that it is leaving. It is not chosen any more, whatever the
    /// control host says of it later. Returns whether that is new.
    bool recordLeaving(const ServerIdentity &server, TimePoint now);
    /// Records that these starts of servers drain or have ended, as the control host has said. They are not chosen any
    /// more, whatever it offers later.
    void recordDepartures(const std::vector<ServerIdentity> &servers, TimePoint now);
    /// Whether this start of a server drains, or has departed, as far as is known.
    [[nodiscard]] bool isDeparting(const ServerIdentity &server) const;
    /// The servers that have stated that they are leaving and are not known to the control host as draining.
    [[nodiscard]] std::vector<OfferedServer> unannouncedLeaving() const;
    /// Sends no request to this start of a server for the time that it has asked for, and a random part of that longer.
    /// Returns the time that is kept, which is at most maxPause plus the addition.
    milliseconds pause(const ServerIdentity &server, milliseconds time, TimePoint now);
    /// When the first of the paused servers that could otherwise serve the request gets requests again; nothing if
    /// none is paused.
    [[nodiscard]] std::optional<TimePoint> earliestReturn(const Requirements &requirements, TimePoint now) const;
    /// Number of paused servers that hold the adapter of the request and could otherwise serve it.
    [[nodiscard]] int pausedHolders(const Requirements &requirements, TimePoint now) const;
    /// Sets the request load of a server: the weight of the requests that all entries together have in progress there,
    /// as last sent by the control host. `reportedAt` is when that was sent; it may be left out where few entries are
    /// connected, because the choice does not depend on it there.
    void setLoad(const TargetId &id, double load, TimePoint reportedAt = {});
    /// Sets the number of connected entries, which decides how servers are chosen; see Options::manyEntries.
    void setEntryCount(std::size_t entries);
    /// Whether so many entries are connected that servers are chosen at random; see Options::manyEntries.
    [[nodiscard]] bool hasManyEntries() const;
    /// Sets the tokens that each server of a service holds in memory for its requests; 0 if not known. Where many
    /// entries are connected, a server whose memory may not suffice for a request is not chosen.
    void setMemory(const ServiceName &service, double tokens);
    /// Sets the tokens in the memory of a server for the requests of all entries, as last sent by the control host.
    void setMemoryInUse(const TargetId &id, double tokens);
    /// Counts the tokens of a request of this entry in the memory of a server. Each reserveMemory() is followed by one
    /// releaseMemory() with the same number.
    void reserveMemory(const TargetId &id, double tokens);
    void releaseMemory(const TargetId &id, double tokens);
    /// Tokens that the requests of this entry hold in the memory of a server.
    [[nodiscard]] double reservedMemory(const TargetId &id) const;
    /// Whether a server of the service with no other request has memory for one of this size.
    [[nodiscard]] bool fitsIntoMemory(const ServiceName &service, double tokens) const;
    /// Sum of the request load and the slots of the servers of a service that take requests now: those that drain, are
    /// leaving or paused, or cannot be reached do not count.
    [[nodiscard]] ServiceLoad serviceLoad(const ServiceName &service, TimePoint now) const;

    /// The best server for a request now; nothing if none can serve it. A server that is still loading the adapter is
    /// chosen only if no server holds it.
    [[nodiscard]] std::optional<Choice> choose(const Requirements &requirements, TimePoint now);
    /// Whether a server of the service that does not drain is offered, and holds the model if one is given.
    [[nodiscard]] bool offers(const ServiceName &service, const std::optional<BaseModel> &model) const;

    /// Adds a request that is sent to a server to the request load of the server. An ordinary request weighs 1.
    void startRequest(const TargetId &id, double weight);
    /// Ends a request that startRequest() has counted with the same weight. Avoids the server for a while if the
    /// outcome is Full, Broken or NoAnswer; Served ends the avoidance.
    void endRequest(const TargetId &id, double weight, ServerOutcome outcome, TimePoint now);
    /// Records how long a request was at a server until the first event of its stream, or until its answer. An answer
    /// that took a multiple of the usual time raises the estimated load of the server for a while.
    void recordFirstAnswer(const TargetId &id, Duration elapsed, TimePoint now);
    /// Records how long a part of a request took at a server that is the same work for all requests of the service: the
    /// time for one event, or for the answer of a plain service that is not crowded.
    void recordUnitTime(const TargetId &id, Duration time);
    /// The unit times of each server relative to those that this entry observes of the service, since the last call.
    [[nodiscard]] std::map<TargetId, TimeRatios> takeTimeRatios();
    /// Sets how many times as long as usual a server takes, as last sent by the control host; 1 if it is not slow.
    void setSlowness(const TargetId &id, double slowness);
    /// Records how long a request that was served was in progress at a server.
    void recordDuration(const TargetId &id, Duration elapsed);
    /// Whether the requests of all entries at a server, as far as known, are at least as many as its slots.
    [[nodiscard]] bool slotsInUse(const TargetId &id) const;
    /// Identifies the present start of a server; nothing when the server is not in the directory.
    [[nodiscard]] std::optional<ServerIdentity> identityOf(const TargetId &id) const;
    [[nodiscard]] std::size_t size() const;
    /// The weight of this entry's requests in progress, for each server that has any.
    [[nodiscard]] std::vector<std::pair<TargetId, double>> inFlight() const;
    [[nodiscard]] std::vector<OfferedServer> offered() const;
    /// Whether the directory has another start of the server or none at all. Does not hold for one that is leaving.
    [[nodiscard]] bool isGone(const ServerIdentity &server) const;
    /// Whether this start of a server has ended as far as this entry can tell: it is gone, or it is avoided after at
    /// least two broken or missing answers in a row. Does not hold for one that is leaving.
    [[nodiscard]] bool seemsEnded(const ServerIdentity &server, TimePoint now) const;
    /// Servers that are avoided at present after at least two broken or missing answers in a row.
    [[nodiscard]] std::vector<TargetId> unreachable(TimePoint now) const;

private:
    [[nodiscard]] bool hasStatedLeaving(const ServerIdentity &server) const;

    /// An adapter that a server holds or loads.
    struct Holding
    {
        std::uint64_t version = 0;
        /// When requests for the adapter may be sent; later than expectedAt if the adapter load takes longer than
        /// expected.
        TimePoint readyAt;
        /// When the adapter load was first expected to end.
        TimePoint expectedAt;
    };
    struct Server
    {
        OfferedServer offered;
        std::unordered_map<AdapterKey, Holding> holdings;
        /// Weight of this entry's requests in progress.
        double inFlight = 0;
        /// Weight of the other entries' requests in progress, and what this entry has met itself.
        LoadEstimate estimate;
        /// Tokens in its memory for requests of this entry, and of the others.
        double ownMemory = 0;
        double othersMemory = 0;
        /// How many times as long as usual the server takes.
        double slowness = 1;
        /// Broken or missing answers in a row.
        int consecutiveFailures = 0;
        TimePoint avoidUntil;
        /// Whether this start of the server has stated that it is leaving.
        bool leaving = false;
        /// The server has asked for no requests before this time.
        TimePoint pausedUntil;
    };
    /// What a start of a server has stated about itself. Kept apart from the servers, because the control host may
    /// remove a server and offer the same start again.
    struct Statement
    {
        bool leaving = false;
        TimePoint statedAt;
        TimePoint pausedUntil;
    };

    /// A server that can take a request.
    struct Candidate
    {
        const Server *server = nullptr;
        const Holding *holding = nullptr;
    };
    /// How long the requests of a service usually take.
    struct ServiceTimes
    {
        /// Until the first event or the answer at a server that is not crowded: near the shortest times.
        UsualTime firstAnswer{0.2, 0.02};
        /// From the start to the end of a request.
        UsualTime duration{0.05, 0.05};
        /// See recordUnitTime().
        UsualTime unit{0.05, 0.05};
    };

    /// The candidates of the best rank: a server that is loading the adapter, and still more one that is avoided, is a
    /// candidate only if there is no better one.
    [[nodiscard]] std::vector<Candidate> findCandidates(const Requirements &requirements, TimePoint now) const;
    [[nodiscard]] Choice chooseLeastLoaded(const std::vector<Candidate> &candidates, TimePoint now);
    [[nodiscard]] Choice chooseAtRandom(const std::vector<Candidate> &candidates, const Requirements &requirements,
                                        TimePoint now);
    /// Whether the server is expected to have memory for the request besides those that it holds.
    [[nodiscard]] bool hasMemory(const Server &server, const Requirements &requirements) const;
    [[nodiscard]] static Choice toChoice(const Candidate &candidate, TimePoint now);
    /// Age of the last report of loads; Duration::max() if there was none.
    [[nodiscard]] Duration reportAge(TimePoint now) const;

    /// Request load of the server: weight of the requests in progress, plus otherZonePenalty for another zone, divided
    /// by the number of slots.
    [[nodiscard]] double load(const Server &server) const;
    [[nodiscard]] static bool unreachable(const Server &server, TimePoint now);
    /// Whether the server offers what the request needs, and wants new requests apart from a pause.
    [[nodiscard]] static bool suits(const Server &server, const Requirements &requirements);
    void forgetExpiredStatements(TimePoint now);
    /// Returns whether the statement is new.
    bool noteLeaving(const ServerIdentity &server, TimePoint now);

    Options m_options;
    std::mt19937_64 m_random;
    std::map<TargetId, Server> m_servers;
    std::map<ServerIdentity, Statement> m_statements;
    std::map<ServiceName, ServiceTimes> m_times;
    std::map<TargetId, TimeRatios> m_timeRatios;
    /// Tokens in the memory of each server; only of services for which that is known.
    std::map<ServiceName, double> m_memory;
    std::size_t m_entryCount = 1;
    /// When loads were last reported. The leader names only the servers whose load has changed, so that this holds for
    /// all servers.
    std::optional<TimePoint> m_loadsReportedAt;
};

} // namespace tamarackcove
