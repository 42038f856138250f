#include "tamarackcove/ControlBench/ChangeBench.h"
#include "tamarackcove/ControlBench/LeaderBench.h"
#include "tamarackcove/ControlBench/StateBench.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace tamarackcove;

/// Appends the parsed endpoints. On the first invalid text, reports the text on stderr and returns false.
static bool parseAll(const std::vector<std::string> &texts, std::vector<Endpoint> &endpoints)
{
    for (const auto &text : texts) {
        const auto endpoint = Endpoint::parse(text);
        if (!endpoint) {
            std::cerr << "tamarackcove-controlbench: " << text
                      << " is not an IP address and port, as in 127.0.0.1:8080\n";
            return false;
        }
        endpoints.push_back(*endpoint);
    }
    return true;
}

int main(int argc, char **argv)
{
    initLogging("tamarackcove-controlbench", LogLevel::Error);
    try {
        TCLAP::CmdLine line("measures the cost of configuration changes and of the replicated state", ' ',
                            TAMARACKCOVE_VERSION);
        line.setExceptionHandling(false);
        TCLAP::MultiArg<std::string> control("", "control", "framed endpoint of a control host", false, "IP:PORT",
                                             line);
        TCLAP::MultiArg<std::string> admin("", "admin", "administration endpoint of a control host", false, "IP:PORT",
                                           line);
        TCLAP::ValueArg<int> watchers("", "watchers", "simulated entries that watch the configuration", false, 7,
                                      "COUNT", line);
        TCLAP::ValueArg<int> changes("", "changes", "configuration changes to measure", false, 50, "COUNT", line);
        TCLAP::ValueArg<int> adapters("", "adapters", "adapters in the configuration", false, 3000, "COUNT", line);
        TCLAP::ValueArg<int> idle("", "idle-ms", "length of the idle measurement", false, 10000, "MS", line);
        TCLAP::SwitchArg state("", "state", "measure only the replicated state, without control hosts", line);
        TCLAP::SwitchArg leader("", "leader", "measure only a leading control host, with entries and engines", line);
        TCLAP::ValueArg<int> entries("", "entries", "with --leader: number of entries", false, 67, "COUNT", line);
        TCLAP::ValueArg<int> servers("", "servers", "with --leader: number of engines", false, 60, "COUNT", line);
        TCLAP::ValueArg<double> rate("", "rate", "with --leader: requests per second", false, 920, "RATE", line);
        line.parse(argc, argv);
        if (leader.getValue()) {
            LeaderBenchOptions options;
            options.entries = entries.getValue();
            options.servers = servers.getValue();
            options.requestsPerSecond = rate.getValue();
            std::cout << runLeaderBench(options).dump(2) << '\n';
            return 0;
        }
        if (state.getValue()) {
            std::cout << runStateBench(adapters.getValue()).dump(2) << '\n';
            return 0;
        }
        ChangeBenchOptions options;
        if (!parseAll(control.getValue(), options.controlEndpoints)
            || !parseAll(admin.getValue(), options.administrationEndpoints)) {
            return ExitUsage;
        }
        if (options.controlEndpoints.empty() || options.administrationEndpoints.empty()) {
            std::cerr << "tamarackcove-controlbench: requires --control and --admin, or --state\n";
            return ExitUsage;
        }
        options.watchers = watchers.getValue();
        options.changes = changes.getValue();
        options.adapters = adapters.getValue();
        options.idleDuration = milliseconds(idle.getValue());
        std::cout << runChangeBench(options).dump(2) << '\n';
        return 0;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "tamarackcove-controlbench: " << error.error() << ' ' << error.argId() << '\n';
        return ExitUsage;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const std::exception &error) {
        std::cerr << "tamarackcove-controlbench: " << error.what() << '\n';
        return 1;
    }
}
