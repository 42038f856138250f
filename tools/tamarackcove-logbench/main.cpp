#include "tamarackcove/LogBench/LogBench.h"
#include "tamarackcove/Observe/LogLine.h"

#include <exception>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

int main(int argc, char **argv)
{
    TCLAP::CmdLine command(
        "Measures the replicated log with replicas in this process over loopback and prints one line "
        "of name,unit,value for each figure.",
        ' ', TAMARACKCOVE_VERSION);
    TCLAP::ValueArg<std::string> folder(
        "", "folder", "folder for the data of the replicas; must be on the disk to measure", true, "", "path", command);
    TCLAP::ValueArg<int> bytes("", "command-bytes", "length of each proposed command", false, 200, "bytes", command);
    TCLAP::ValueArg<int> concurrency("", "concurrency", "commands that are proposed at the same time", false, 64,
                                     "count", command);
    TCLAP::ValueArg<int> losses("", "losses", "how many leaders to kill, and how many to isolate", false, 10, "count",
                                command);
    command.parse(argc, argv);

    tamarackcove::initLogging("logbench", tamarackcove::LogLevel::Error);
    try {
        const auto figures = tamarackcove::runLogBench({.folder = folder.getValue(),
                                                        .commandBytes = bytes.getValue(),
                                                        .concurrency = concurrency.getValue(),
                                                        .leaderLosses = losses.getValue()});
        fmt::print("name,unit,value\n");
        for (const auto &figure : figures) {
            fmt::print("{},{},{:.3f}\n", figure.name, figure.unit, figure.value);
        }
    } catch (const std::exception &error) {
        fmt::print(stderr, "measurement failed: {}\n", error.what());
        return 1;
    }
    return 0;
}
