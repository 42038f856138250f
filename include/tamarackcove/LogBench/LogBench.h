#pragma once

#include "tamarackcove/Base/Time.h"

#include <filesystem>
#include <string>
#include <vector>

namespace tamarackcove {

struct LogBenchOptions
{
    /// Parent of the data folders of the replicas, which are removed afterwards. The figures depend on how fast the
    /// disk of this folder syncs.
    std::filesystem::path folder;
    /// Size of each proposed command.
    int commandBytes = 200;
    /// Throughput is measured with one proposer and with this number of them. Each proposer waits for the answer to a
    /// command before it proposes the next one.
    int concurrency = 64;
    /// Length of each throughput and idle measurement.
    milliseconds duration = seconds(3);
    /// Number of leaders that the measurement stops, and number that it afterwards isolates from their peers. At
    /// least 1.
    int leaderLosses = 10;
    /// Numbers of commands in the log after which a restart is measured.
    std::vector<int> restartCommands{1000, 19000, 100000};
};

/// One measured figure with its unit.
struct LogFigure
{
    std::string name;
    std::string unit;
    double value = 0;
};

/// Measures replicas that run in this process and talk over loopback. Blocks for about a minute. Throws
/// std::runtime_error when a replica cannot open its folder or lacks commands after a restart.
[[nodiscard]] std::vector<LogFigure> runLogBench(const LogBenchOptions &options);

} // namespace tamarackcove
