#pragma once

#include "tamarackcove/Base/Time.h"

#include <filesystem>
#include <string>
#include <vector>

namespace tamarackcove {

struct LogBenchOptions
{
    /// Data folders are created below it and removed afterwards; its disk decides the cost of a sync.
    std::filesystem::path folder;
    int commandBytes = 200;
    /// Commands that are proposed at the same time.
    int concurrency = 64;
    /// Length of each throughput and idle measurement.
    milliseconds duration = seconds(3);
    /// Leaders that are killed, and leaders that are isolated.
    int leaderLosses = 10;
    std::vector<int> restartCommands{1000, 19000, 100000};
};

/// One measured figure.
struct LogFigure
{
    std::string name;
    std::string unit;
    double value = 0;
};

/// Measures replicas that run in this process and talk over loopback. Takes about a minute.
[[nodiscard]] std::vector<LogFigure> runLogBench(const LogBenchOptions &options);

} // namespace tamarackcove
