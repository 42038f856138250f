#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

// Messages between entries and the leading control host. An entry opens the connection. Afterwards both sides send
// unprompted: the entry sends reports, the control host sends updates. Times are durations in milliseconds, counted
// from the moment of sending.

/// The attributes of a server that entries route by.
struct ServerMessage
{
    std::string id;
    std::uint64_t startedAt = 0;
    std::string service;
    std::string endpoint;
    std::string zone;
    int slots = 0;
    bool draining = false;
    std::vector<std::string> models;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServerMessage, id, startedAt, service, endpoint, zone, slots, draining, models)

/// The version of an adapter that a server holds; 0 when the server no longer holds the adapter.
struct HoldingMessage
{
    std::string server;
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
    /// The time until requests may use the adapter at this server; negative when they already may.
    std::int64_t readyInMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HoldingMessage, server, model, adapter, version, readyInMs)

/// The load of the requests in progress at a server.
struct ServerLoadMessage
{
    std::string server;
    /// In units of the load of one ordinary request.
    double load = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServerLoadMessage, server, load)

struct WeightVersionMessage
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WeightVersionMessage, model, adapter, version)

struct FleetUpdateMessage
{
    static constexpr std::string_view Type = "fleet_update";
    /// False when the sender is not the leader; then only `hosts` is set.
    bool leads = false;
    /// The term in which the sender is the leader.
    std::uint64_t term = 0;
    /// IP addresses of the control hosts.
    std::vector<std::string> hosts;
    std::uint64_t configurationVersion = 0;
    /// The configuration as the operator sent it; empty when the entry already holds this version.
    std::string document;
    std::vector<WeightVersionMessage> versions;
    std::vector<ServerMessage> servers;
    std::vector<std::string> removed;
    std::vector<HoldingMessage> holdings;
    /// Whether `all` is set.
    bool complete = false;
    /// The ids of all existing servers. The entry removes every server that is not listed.
    std::vector<std::string> all;
    /// The load of the requests in progress at each server, summed over all entries.
    std::vector<ServerLoadMessage> loads;
    /// The number of connected entries, among which the retry budget is divided.
    std::uint64_t entries = 1;
    /// Asks the entry to list in its next report which adapters the servers have held.
    bool wantsHistory = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetUpdateMessage, leads, term, hosts, configurationVersion, document, versions,
                                   servers, removed, holdings, complete, all, loads, entries, wantsHistory)

/// Requests that wait for an adapter.
struct DemandMessage
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
    int waiting = 0;
    /// The number of servers that hold the adapter and have failed one of these requests.
    int failed = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DemandMessage, model, adapter, version, waiting, failed)

/// The use of an adapter at a server by the requests of one entry.
struct UseMessage
{
    std::string server;
    std::string model;
    std::string adapter;
    /// The number of requests for the adapter sent to the server since the entry's last report.
    int requests = 0;
    /// The number of requests for the adapter in progress at the server.
    int running = 0;
    /// Whether the server has answered that it does not hold the adapter.
    bool missing = false;
    /// How long after the expected end of the load the server was still loading the adapter; 0 when the load is not
    /// overdue.
    std::int64_t overdueMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UseMessage, server, model, adapter, requests, running, missing, overdueMs)

/// The adapters of one model that a server has held since the start identified by `startedAt`, least recent first.
struct HistoryMessage
{
    std::string server;
    std::uint64_t startedAt = 0;
    std::string model;
    std::vector<std::string> adapters;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HistoryMessage, server, startedAt, model, adapters)

struct FleetReportMessage
{
    static constexpr std::string_view Type = "fleet_report";
    std::string entry;
    std::string zone;
    std::uint64_t configurationVersion = 0;
    std::vector<DemandMessage> demands;
    std::vector<UseMessage> uses;
    std::vector<ServerLoadMessage> loads;
    /// Servers that the entry cannot reach.
    std::vector<std::string> unreachable;
    /// The servers that the entry knows; only in its first report to a new leader.
    std::vector<ServerMessage> servers;
    /// Sent only when the control host has asked for it with `wantsHistory`.
    std::vector<HistoryMessage> histories;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetReportMessage, entry, zone, configurationVersion, demands, uses, loads,
                                   unreachable, servers, histories)

} // namespace tamarackcove
