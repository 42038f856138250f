#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace tamarackcove {

/// Parameters of the measurement of a leading control host.
struct LeaderBenchOptions
{
    /// Number of entries that are connected to the leader.
    int entries = 67;
    /// Number of engines that the leader orders.
    int servers = 60;
    int adapterSlotsPerServer = 11;
    /// Requests per second that name an adapter, over all entries.
    double requestsPerSecond = 920;
    /// Number of adapters, and the exponent of the Zipf distribution by which requests name them.
    int adapters = 10000;
    double zipfExponent = 1.2;
    /// Time from the moment a server takes a request until its end.
    milliseconds serviceTime{500};
    /// Time before the measurement, in which servers and entries connect and the first adapters are loaded.
    milliseconds warmUp = seconds(4);
    milliseconds duration = seconds(10);
    std::uint64_t seed = 1;
};

/// Runs one control host that leads, with entries and engines on loopback in the same process, each of the three on its
/// own thread. Returns the CPU time of the leader's thread as a share of a core, its orders and updates, and the share
/// of requests that got their adapter within 1.5 s. Throws std::runtime_error when the control host does not start.
nlohmann::json runLeaderBench(const LeaderBenchOptions &options);

} // namespace tamarackcove
