#include "tamarackcove/Bench/DecisionBench.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

int main(int argc, char **argv)
{
    TCLAP::CmdLine command(
        "Measures the cost of routing and planning decisions and prints one line of name,unit,value for each figure.",
        ' ', TAMARACKCOVE_VERSION);
    TCLAP::ValueArg<int> adapters("", "adapters", "adapters in the configuration", false, 140000, "count", command);
    TCLAP::ValueArg<int> targets("", "targets", "targets in the zone", false, 200, "count", command);
    TCLAP::ValueArg<int> slots("", "slots", "adapter slots of each target", false, 16, "count", command);
    command.parse(argc, argv);

    const auto figures = tamarackcove::runDecisionBench(
        {.adapters = adapters.getValue(), .targets = targets.getValue(), .slotsPerTarget = slots.getValue()});
    fmt::print("name,unit,value\n");
    for (const auto &figure : figures) {
        fmt::print("{},{},{:.3f}\n", figure.name, figure.unit, figure.value);
    }
    return 0;
}
