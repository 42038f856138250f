#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// Messages between entries and the control host that leads. An entry opens the connection; then either side sends on
/// its own: the entry reports, the control host updates. Times are durations from the moment of sending, in
/// milliseconds.

/// A server as entries need it.
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

/// What a server holds of one adapter; version 0 when it no longer does.
struct HoldingMessage
{
    std::string server;
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
    /// Until requests may use it; negative when they already may.
    std::int64_t readyInMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HoldingMessage, server, model, adapter, version, readyInMs)

/// Requests in progress at a server.
struct LoadMessage
{
    std::string server;
    /// In units of an ordinary request.
    double load = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadMessage, server, load)

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
    /// False when the sender does not lead; then only `hosts` is set.
    bool leads = false;
    /// The term in which the sender leads.
    std::uint64_t term = 0;
    /// IP numbers of the control hosts.
    std::vector<std::string> hosts;
    std::uint64_t configurationVersion = 0;
    /// The configuration as the operator sent it; empty when the entry has it.
    std::string document;
    std::vector<WeightVersionMessage> versions;
    std::vector<ServerMessage> servers;
    std::vector<std::string> removed;
    std::vector<HoldingMessage> holdings;
    /// With `complete`: every server there is; others are gone.
    bool complete = false;
    std::vector<std::string> all;
    /// Requests in progress at each server, over all entries.
    std::vector<LoadMessage> loads;
    /// Entries that are connected, which share the retry budget.
    std::uint64_t entries = 1;
    /// Whether the next report is to tell which adapters servers have held.
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
    /// Servers that hold it and have failed one of these requests.
    int failed = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DemandMessage, model, adapter, version, waiting, failed)

/// How an entry uses an adapter at a server.
struct UseMessage
{
    std::string server;
    std::string model;
    std::string adapter;
    /// Sent since the last report.
    int requests = 0;
    /// In progress.
    int running = 0;
    /// The server has answered that it does not hold the adapter.
    bool missing = false;
    /// The server was still loading the adapter so long after the expected end; 0 when it was not.
    std::int64_t overdueMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UseMessage, server, model, adapter, requests, running, missing, overdueMs)

/// Adapters of one model that one start of a server has held, the least recent first.
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
    std::vector<LoadMessage> loads;
    /// Servers that the entry cannot reach.
    std::vector<std::string> unreachable;
    /// The servers that the entry knows, in its first report to a host that has begun to lead.
    std::vector<ServerMessage> servers;
    /// Only when the control host has asked for it.
    std::vector<HistoryMessage> histories;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetReportMessage, entry, zone, configurationVersion, demands, uses, loads,
                                   unreachable, servers, histories)

} // namespace tamarackcove
