#pragma once

#include "tamarackcove/Wire/AllowanceMessages.h"
#include "tamarackcove/Wire/ArrayFields.h"

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

// Messages between entries and control hosts. An entry opens the connection. Afterwards both sides send unprompted: the
// entry sends reports, the control host sends its status, and the leader sends updates after its status. An update is
// encoded once for all entries, so that it names times on the clock of the leader, which the status carries.
//
// The messages that come by the thousand a second are encoded as arrays of their fields, in the order of declaration:
// without the field names they take a fraction of the time to encode and decode.

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

/// A start of a server that drains or has ended.
struct DepartureMessage
{
    std::string server;
    std::uint64_t startedAt = 0;
};
inline void to_json(nlohmann::json &json, const DepartureMessage &message)
{
    json = toArray(message.server, message.startedAt);
}
inline void from_json(const nlohmann::json &json, DepartureMessage &message)
{
    fromArray(json, message.server, message.startedAt);
}

/// The version of an adapter that a server holds; 0 when the server no longer holds the adapter.
struct HoldingMessage
{
    std::string server;
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
    /// When requests may use the adapter at this server, in milliseconds on the clock of FleetStatusMessage::clockMs.
    std::int64_t readyAtMs = 0;
};
inline void to_json(nlohmann::json &json, const HoldingMessage &message)
{
    json = toArray(message.server, message.model, message.adapter, message.version, message.readyAtMs);
}
inline void from_json(const nlohmann::json &json, HoldingMessage &message)
{
    fromArray(json, message.server, message.model, message.adapter, message.version, message.readyAtMs);
}

/// The load of the requests in progress at a server.
struct ServerLoadMessage
{
    /// Slowness is encoded in quarters.
    static constexpr double SlownessSteps = 4;
    std::string server;
    /// In units of the load of one ordinary request.
    double load = 0;
    /// Tokens that the requests are expected to hold in the memory of the server; encoded as a whole number.
    double memoryTokens = 0;
    /// How many times as long as usual the server takes, as found by the leader; 1 in reports of entries.
    double slowness = 1;
};
inline void to_json(nlohmann::json &json, const ServerLoadMessage &message)
{
    // Whole numbers take a third of the bytes of fractions.
    json = toArray(message.server, message.load, std::llround(message.memoryTokens),
                   std::lround(message.slowness * ServerLoadMessage::SlownessSteps));
}
inline void from_json(const nlohmann::json &json, ServerLoadMessage &message)
{
    fromArray(json, message.server, message.load, message.memoryTokens, message.slowness);
    message.slowness /= ServerLoadMessage::SlownessSteps;
}

/// How long a server has taken relative to what is usual, as one entry has observed it since its previous report.
struct TimeRatiosMessage
{
    std::string server;
    int count = 0;
    /// Sum of the natural logarithms of the ratios.
    double logSum = 0;
};
inline void to_json(nlohmann::json &json, const TimeRatiosMessage &message)
{
    json = toArray(message.server, message.count, message.logSum);
}
inline void from_json(const nlohmann::json &json, TimeRatiosMessage &message)
{
    fromArray(json, message.server, message.count, message.logSum);
}

struct WeightVersionMessage
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WeightVersionMessage, model, adapter, version)

/// Sent by every control host at regular intervals, and by the leader before each update.
struct FleetStatusMessage
{
    static constexpr std::string_view Type = "fleet_status";
    bool leads = false;
    /// The term in which the sender is the leader. This field and those after `hosts` are set only by the leader.
    std::uint64_t term = 0;
    /// IP addresses of the control hosts.
    std::vector<std::string> hosts;
    /// The monotonic clock of the sender, in milliseconds.
    std::int64_t clockMs = 0;
    /// The number of connected entries, among which the retry budget is divided.
    std::uint64_t entries = 1;
    /// Asks the entry to list in its next report which adapters the servers have held.
    bool wantsHistory = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetStatusMessage, leads, term, hosts, clockMs, entries, wantsHistory)

/// Precedes updates that an entry applies together, so that no request is decided on by a part of them: the whole state
/// may be followed by what has changed since it was encoded, such as a drain or a quarantine.
struct FleetBatchMessage
{
    static constexpr std::string_view Type = "fleet_batch";
    static constexpr std::uint64_t MaxUpdates = 1024;
    std::uint64_t updates = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetBatchMessage, updates)

/// Changes since the previous update, or the whole state of the leader for an entry that has not followed its updates.
struct FleetUpdateMessage
{
    static constexpr std::string_view Type = "fleet_update";
    std::uint64_t configurationVersion = 0;
    /// The configuration as the operator sent it; empty when it has not changed.
    std::string document;
    std::vector<WeightVersionMessage> versions;
    std::vector<ServerMessage> servers;
    std::vector<std::string> removed;
    /// Starts of servers that get no new requests from now on, whatever later updates offer. Those of the last minutes
    /// in the whole state.
    std::vector<DepartureMessage> departed;
    /// Servers of which the entry forgets all holdings before it applies `holdings`. Set in the whole state, which does
    /// not name the adapters that a server has ceased to hold.
    std::vector<std::string> relisted;
    std::vector<HoldingMessage> holdings;
    /// Whether `all` is set.
    bool complete = false;
    /// The ids of all existing servers. The entry removes every server that is not listed.
    std::vector<std::string> all;
    /// The load of the requests in progress, summed over all entries, at each server where it has changed.
    std::vector<ServerLoadMessage> loads;
    /// Whether the two lists that follow replace those of the entry.
    bool listsPromptParts = false;
    /// Parts of prompts, and requests, of which the entry reports when a server answers them.
    std::vector<std::string> watchedParts;
    /// Parts of prompts, and requests, that crash servers. The entry refuses them.
    std::vector<std::string> quarantinedParts;
    /// Whether the list that follows replaces that of the entry.
    bool listsSilentServers = false;
    /// Servers whose heartbeats have stopped. The entry reports the requests that they have left without an answer.
    std::vector<std::string> silentServers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetUpdateMessage, configurationVersion, document, versions, servers, removed,
                                   departed, relisted, holdings, complete, all, loads, listsPromptParts, watchedParts,
                                   quarantinedParts, listsSilentServers, silentServers)

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
inline void to_json(nlohmann::json &json, const DemandMessage &message)
{
    json = toArray(message.model, message.adapter, message.version, message.waiting, message.failed);
}
inline void from_json(const nlohmann::json &json, DemandMessage &message)
{
    fromArray(json, message.model, message.adapter, message.version, message.waiting, message.failed);
}

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
inline void to_json(nlohmann::json &json, const UseMessage &message)
{
    json = toArray(message.server, message.model, message.adapter, message.requests, message.running, message.missing,
                   message.overdueMs);
}
inline void from_json(const nlohmann::json &json, UseMessage &message)
{
    fromArray(json, message.server, message.model, message.adapter, message.requests, message.running, message.missing,
              message.overdueMs);
}

/// The adapters of one model that a server has held since the start identified by `startedAt`, least recent first.
struct HistoryMessage
{
    std::string server;
    std::uint64_t startedAt = 0;
    std::string model;
    std::vector<std::string> adapters;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HistoryMessage, server, startedAt, model, adapters)

/// A part of prompts or a request that may have crashed a server, and how long before the report it was sent there.
struct SuspectMessage
{
    std::string suspect;
    std::int64_t agoMs = 0;
    /// Whether each request with the suspect had been sent to another server before, in the same attempt of its caller.
    bool again = false;
    /// Whether the server had begun to answer one of these requests.
    bool begun = false;
};
inline void to_json(nlohmann::json &json, const SuspectMessage &message)
{
    json = toArray(message.suspect, message.agoMs, message.again, message.begun);
}
inline void from_json(const nlohmann::json &json, SuspectMessage &message)
{
    fromArray(json, message.suspect, message.agoMs, message.again, message.begun);
}

/// A suspect that servers have answered, and how long before the report they last began or completed such an answer.
struct AnswerMessage
{
    std::string suspect;
    std::int64_t agoMs = 0;
    /// -1 if no answer was complete.
    std::int64_t completeAgoMs = -1;
};
inline void to_json(nlohmann::json &json, const AnswerMessage &message)
{
    json = toArray(message.suspect, message.agoMs, message.completeAgoMs);
}
inline void from_json(const nlohmann::json &json, AnswerMessage &message)
{
    fromArray(json, message.suspect, message.agoMs, message.completeAgoMs);
}

/// A start of a server that has broken off requests, or that has not answered them in full and has ended.
struct CrashMessage
{
    std::string server;
    std::uint64_t startedAt = 0;
    std::string endpoint;
    /// Whether the server has closed the connection of one of the requests, and how long before the report it first did
    /// so.
    bool closed = false;
    std::int64_t agoMs = 0;
    /// Whether one of the requests has had no answer on an open connection. How long before the report the first one of
    /// them was sent, and the entry last received anything from the server; -1 if it never did.
    bool silent = false;
    std::int64_t firstSentAgoMs = 0;
    std::int64_t lastHeardAgoMs = -1;
    /// What is suspect in these requests, and when they were sent; only what the previous reports have not said.
    std::vector<SuspectMessage> suspects;
};
inline void to_json(nlohmann::json &json, const CrashMessage &message)
{
    json = toArray(message.server, message.startedAt, message.endpoint, message.closed, message.agoMs, message.silent,
                   message.firstSentAgoMs, message.lastHeardAgoMs, message.suspects);
}
inline void from_json(const nlohmann::json &json, CrashMessage &message)
{
    fromArray(json, message.server, message.startedAt, message.endpoint, message.closed, message.agoMs, message.silent,
              message.firstSentAgoMs, message.lastHeardAgoMs, message.suspects);
}

struct FleetReportMessage
{
    static constexpr std::string_view Type = "fleet_report";
    std::string entry;
    std::string zone;
    std::uint64_t configurationVersion = 0;
    /// Crashes that requests of the entry have met since its previous report to this control host; in its first report
    /// on a connection or to a new leader, all that still count; the newest within what the entry may tell. Hosts that
    /// do not lead get them too, so that they are known to the next leader if the entry ends with this one.
    std::vector<CrashMessage> crashes;
    /// The suspects that the leader watches or that are in `crashes`, and that servers have answered lately.
    std::vector<AnswerMessage> answeredSuspects;
    /// Whether the report only adds demands to those of the previous report. The fields after `demands` are then empty
    /// and say nothing, except `allowances`.
    bool onlyNewDemands = false;
    std::vector<DemandMessage> demands;
    std::vector<UseMessage> uses;
    std::vector<ServerLoadMessage> loads;
    /// Servers that the entry cannot reach.
    std::vector<std::string> unreachable;
    /// Servers that have stated in an answer that they are leaving, and that the leader still offers.
    std::vector<ServerMessage> leaving;
    /// The servers that the entry knows; only in its first report to a new leader.
    std::vector<ServerMessage> servers;
    /// Sent only when the control host has asked for it with `wantsHistory`.
    std::vector<HistoryMessage> histories;
    /// Allowances; only to the leader, and also in a report of only new demands.
    AllowanceReportMessage allowances;
    /// How long servers took for what requests of the entry did there, against the usual time of their service.
    std::vector<TimeRatiosMessage> timeRatios;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetReportMessage, entry, zone, configurationVersion, crashes, answeredSuspects,
                                   onlyNewDemands, demands, uses, loads, unreachable, leaving, servers, histories,
                                   allowances, timeRatios)

} // namespace tamarackcove
