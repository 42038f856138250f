#pragma once

#include "tamarackcove/Fleet/ServerRecord.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// What an entry is told of one server by the control host.
struct OfferedServer
{
    ServerIdentity identity;
    ServiceName service;
    Endpoint endpoint;
    Zone zone;
    int slots = 0;
    bool draining = false;
    std::vector<BaseModel> models;
};

/// How a request that was sent to a server ended, as far as it tells about the server.
enum class ServerOutcome {
    Served,
    /// The server refused it without running it, because it is full.
    Full,
    /// The server says that it is another one, or does not hold the weights.
    WrongServer,
    /// No connection, a broken or an unreadable answer.
    Broken,
    /// The server answered with a failure of its own.
    Failed,
    /// No answer for much longer than such requests take.
    Silent,
    /// Ended for a reason that does not concern the server.
    Unrelated,
};

/// The servers that an entry may use, and the choice between them.
///
/// Thread safety: used on one thread.
class ServerDirectory
{
public:
    struct Options
    {
        Zone zone;
        /// A server in another zone counts as this many places busier; bytes between zones are paid for.
        double otherZonePenalty = 1.5;
        /// After an outcome that speaks against a server it gets no requests for this long while others can take them,
        /// doubled with each further one up to the limit.
        milliseconds firstAvoidance{400};
        milliseconds maxAvoidance{3000};
        std::uint64_t seed = 1;
    };
    struct Wish
    {
        ServiceName service;
        /// Absent for plain services.
        std::optional<BaseModel> model;
        /// Set when the request names an adapter.
        std::optional<AdapterKey> adapter;
        std::uint64_t minVersion = 0;
        /// Servers that have seen the request.
        std::set<TargetId> excluded;
    };
    struct Choice
    {
        ServerIdentity server;
        Endpoint endpoint;
        Zone zone;
        /// The version of the adapter that the server holds; 0 without one.
        std::uint64_t version = 0;
        /// For a load in progress: when the server can be asked. In the past otherwise.
        TimePoint readyAt;
        /// When the load is or was expected to end.
        TimePoint expectedAt;
    };

    explicit ServerDirectory(Options options);

    void put(OfferedServer server);
    void remove(const TargetId &id);
    /// Removes all servers but these.
    void keepOnly(const std::set<TargetId> &ids);
    void setHolding(const TargetId &id, const AdapterKey &adapter, std::uint64_t version, TimePoint readyAt);

    /// A server is still loading an adapter that it was expected to hold by now.
    void postpone(const TargetId &id, const AdapterKey &adapter, TimePoint until);
    /// What all entries together had in progress at a server a moment ago.
    void setLoad(const TargetId &id, double load);

    /// The best server for a request now. A server that is loading the adapter is a choice too, when none holds it.
    [[nodiscard]] std::optional<Choice> choose(const Wish &wish, TimePoint now);
    /// Whether a server of the service is offered at all, and holds the model if one is named.
    [[nodiscard]] bool offers(const ServiceName &service, const std::optional<BaseModel> &model) const;

    /// A request was sent to a server, and has ended there. Its weight is in units of an ordinary request.
    void began(const TargetId &id, double weight);
    void ended(const TargetId &id, double weight, ServerOutcome outcome, TimePoint now);
    /// The start of a server that is known; nothing when it is not.
    [[nodiscard]] std::optional<ServerIdentity> identityOf(const TargetId &id) const;
    [[nodiscard]] std::size_t size() const;
    /// The weight of this entry's requests in progress at each server that has any.
    [[nodiscard]] std::vector<std::pair<TargetId, double>> inFlight() const;
    [[nodiscard]] std::vector<OfferedServer> offered() const;
    /// Servers at which several requests broke off in a row, and which are avoided for that.
    [[nodiscard]] std::vector<TargetId> unreachable(TimePoint now) const;

private:
    struct Holding
    {
        std::uint64_t version = 0;
        TimePoint readyAt;
        /// When the load was expected to end.
        TimePoint expectedAt;
    };
    struct Server
    {
        OfferedServer offered;
        std::unordered_map<AdapterKey, Holding> holdings;
        double inFlight = 0;
        /// What the other entries have in progress.
        double others = 0;
        int failures = 0;
        TimePoint avoidUntil;
    };

    [[nodiscard]] double load(const Server &server) const;
    [[nodiscard]] static bool unreachable(const Server &server, TimePoint now);

    Options m_options;
    std::mt19937_64 m_random;
    std::map<TargetId, Server> m_servers;
};

} // namespace tamarackcove
