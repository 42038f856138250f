#include "ZoneBench.h"
#include "tamarackcove/Observe/LogLine.h"

#include <exception>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

int main(int argc, char **argv)
{
    using namespace tamarackcove;
    try {
        TCLAP::CmdLine command(
            "Measures the CPU time and traffic of the entries of a zone that monitor each other and their targets.",
            ' ', TAMARACKCOVE_VERSION);
        TCLAP::MultiArg<int> entries("e", "entries", "number of entries in the zone; each use adds a measurement",
                                     false, "count", command);
        TCLAP::ValueArg<int> targets("t", "targets", "targets that announce themselves once a second", false, 0,
                                     "count", command);
        TCLAP::ValueArg<int> loads("l", "loads", "adapter loads per second in the zone", false, 0, "count", command);
        TCLAP::ValueArg<int> duration("d", "seconds", "length of each measurement", false, 10, "seconds", command);
        command.parse(argc, argv);
        initLogging("tamarackcove-zonebench", LogLevel::Error);
        for (const auto count : entries.getValue()) {
            ZoneBenchCase parameters;
            parameters.entries = count;
            parameters.targets = targets.getValue();
            parameters.loadsPerSecond = loads.getValue();
            parameters.duration = seconds(duration.getValue());
            const auto result = runZoneBench(parameters);
            fmt::print("entries={} targets={} loads_per_second={:.1f} cpu_percent_per_entry={:.4f} "
                       "messages_per_second={:.1f} read_bytes_per_second={:.0f} written_bytes_per_second={:.0f} "
                       "coordinator_read_bytes_per_second={:.0f} coordinator_written_bytes_per_second={:.0f}\n",
                       count, parameters.targets, result.loadsPerSecond, result.cpuShare * 100,
                       result.messagesPerSecond, result.bytesReadPerSecond, result.bytesWrittenPerSecond,
                       result.coordinatorBytesReadPerSecond, result.coordinatorBytesWrittenPerSecond);
            std::fflush(stdout);
        }
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
