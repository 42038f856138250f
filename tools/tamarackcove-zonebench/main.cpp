#include "ZoneBench.h"
#include "tamarackcove/Observe/LogLine.h"

#include <exception>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

int main(int argc, char **argv)
{
    using namespace tamarackcove;
    try {
        TCLAP::CmdLine command("Measures what it costs the entries of a zone to watch each other and their targets.",
                               ' ', TAMARACKCOVE_VERSION);
        TCLAP::MultiArg<int> entries("e", "entries", "entries of the zone; may be repeated", false, "count", command);
        TCLAP::ValueArg<int> targets("t", "targets", "targets that announce every second", false, 0, "count", command);
        TCLAP::ValueArg<int> loads("l", "loads", "adapters loaded per second", false, 0, "count", command);
        TCLAP::ValueArg<int> duration("d", "seconds", "measured time", false, 10, "seconds", command);
        TCLAP::SwitchArg shared("s", "shared-timer", "one heartbeat timer for all links", command);
        command.parse(argc, argv);
        initLogging("tamarackcove-zonebench", LogLevel::Error);
        for (const auto count : entries.getValue()) {
            ZoneBenchCase parameters;
            parameters.entries = count;
            parameters.targets = targets.getValue();
            parameters.loadsPerSecond = loads.getValue();
            parameters.sharedBeatTimer = shared.getValue();
            parameters.duration = seconds(duration.getValue());
            const auto result = runZoneBench(parameters);
            fmt::print("entries={} targets={} shared_timer={} loads_per_second={:.1f} cpu_percent_per_entry={:.4f} "
                       "messages_per_second={:.1f} read_bytes_per_second={:.0f} written_bytes_per_second={:.0f} "
                       "coordinator_read_bytes_per_second={:.0f} coordinator_written_bytes_per_second={:.0f}\n",
                       count, parameters.targets, parameters.sharedBeatTimer, result.loadsPerSecond,
                       result.cpuShare * 100, result.messagesPerSecond, result.bytesReadPerSecond,
                       result.bytesWrittenPerSecond, result.coordinatorBytesReadPerSecond,
                       result.coordinatorBytesWrittenPerSecond);
            std::fflush(stdout);
        }
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
