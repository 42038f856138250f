#pragma once

#include "tamarackcove/Fleet/AdapterPlanner.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace tamarackcove::test {

inline constexpr TimePoint Start{std::chrono::hours(1)};
inline const BaseModel Model("m");
inline const Zone LocalZone("here");
inline const EntryId Entry("e");

using Step = AdapterPlanner::Step;

inline AdapterKey adapter(int number)
{
    return {Model, "a" + std::to_string(number)};
}

inline EngineProfile profile(int slotLimit = 3)
{
    EngineProfile engine;
    engine.slots = 8;
    engine.adapterSlots = slotLimit;
    engine.weightsMb = 1000;
    engine.storeLoadsPerSecond = 3;
    engine.models.push_back({.name = Model, .weightsMb = 900, .adapterMb = 10, .storeLoadTime = seconds(2)});
    return engine;
}

inline ServerHeartbeat heartbeat(const std::string &id, std::uint64_t startedAt = 1)
{
    ServerHeartbeat message;
    message.identity = {.id = TargetId(id), .startedAt = Incarnation(startedAt)};
    message.service = ServiceName("s");
    message.endpoint = {.host = "10.0.0.1", .port = 80};
    message.zone = LocalZone;
    message.slots = 8;
    return message;
}

inline ServerReport stateWithModel(std::vector<int> adapters = {}, std::uint64_t orders = 0)
{
    ServerReport report;
    report.startedAt = Incarnation(1);
    HeldModel model{.name = Model, .version = 1, .adapters = {}};
    for (const int number : adapters) {
        model.adapters.push_back({.adapter = adapter(number).adapter, .version = 1});
    }
    report.models.push_back(model);
    report.ordersAccepted = orders;
    return report;
}

/// Makes a planner with servers whose state has been read.
inline AdapterPlanner makePlanner(const std::vector<std::string> &servers, int slotLimit = 3,
                                  AdapterPlanner::Options options = {})
{
    AdapterPlanner adapterPlanner(options);
    for (const auto &id : servers) {
        adapterPlanner.updateServer(heartbeat(id), false, profile(slotLimit), Start);
        REQUIRE(adapterPlanner.nextStep(TargetId(id), Start).kind == Step::Kind::ReadState);
        adapterPlanner.applyReport(heartbeat(id).identity, stateWithModel(), Start, Start);
    }
    return adapterPlanner;
}

/// Options with a store window that is never full, so that only the limits of a server apply.
inline AdapterPlanner::Options unlimitedStoreWindow()
{
    AdapterPlanner::Options options;
    options.store.loadsPerServer = 100;
    return options;
}

} // namespace tamarackcove::test
