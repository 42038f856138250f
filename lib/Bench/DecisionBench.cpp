#include "tamarackcove/Bench/DecisionBench.h"

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Configuration/AdapterCatalog.h"
#include "tamarackcove/Residency/ResidencyPlanner.h"
#include "tamarackcove/Routing/Router.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <cassert>
#include <ctime>
#include <fmt/format.h>
#include <random>

namespace tamarackcove {

static constexpr std::uint64_t Seed = 1;

static const BaseModel Model("base-8b");

/// CPU time that this process has used since its start, in microseconds.
static double cpuMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// The memory of an idle adapter depends on the length of its name; this is the length in the example deployments: a
// team, a purpose and a number.
static AdapterRef numberedAdapter(int number)
{
    return {fmt::format("show-rules-{:06}", number), "v1"};
}

static AdapterCatalog makeCatalog(int adapters)
{
    AdapterCatalog catalog;
    const AdapterRecord record{.baseModel = Model, .service = ServiceName("drafting"), .current = true};
    for (int i = 0; i < adapters; ++i) {
        catalog.put(numberedAdapter(i), record);
    }
    return catalog;
}

static ZoneView makeView(const DecisionBenchOptions &options)
{
    ZoneView view;
    std::mt19937_64 random(Seed);
    std::uniform_int_distribution<int> anyAdapter(0, options.adapters - 1);
    for (int i = 0; i < options.targets; ++i) {
        TargetView target;
        target.id = TargetId(fmt::format("engine-{}", i));
        target.baseModel = Model;
        target.maxBatch = 16;
        target.running = i % 16;
        target.adapterSlots = options.slotsPerTarget;
        while (static_cast<int>(target.adapters.size()) < options.slotsPerTarget) {
            target.adapters[numberedAdapter(anyAdapter(random))] = ResidencyState::Resident;
        }
        view.putTarget(std::move(target));
    }
    return view;
}

static BenchFigure measureRouting(const DecisionBenchOptions &options, const AdapterCatalog &catalog,
                                  const ZoneView &view)
{
    Router router({.zone = Zone("a"), .seed = Seed});
    const std::vector<Zone> zones{Zone("a"), Zone("b"), Zone("c")};
    std::mt19937_64 random(Seed);
    std::uniform_int_distribution<int> anyAdapter(0, options.adapters - 1);
    constexpr int TraceLength = 1000;
    std::vector<Router::Request> requests;
    requests.reserve(TraceLength);
    for (int i = 0; i < TraceLength; ++i) {
        requests.push_back({.adapter = numberedAdapter(anyAdapter(random)), .baseModel = Model});
    }
    const auto now = Clock::now();
    std::size_t forwarded = 0;
    const auto cpuBefore = cpuMicroseconds();
    for (int i = 0; i < options.rounds; ++i) {
        const auto &request = requests[static_cast<std::size_t>(i) % requests.size()];
        const auto record = catalog.find(request.adapter);
        assert(record && "every adapter of the trace is in the catalog");
        const auto choice = router.choose(request, view, zones);
        if (choice.kind == RouteKind::Target) {
            router.noteDispatched(choice.target, now);
            router.noteFinished(choice.target, now);
        }
        forwarded += choice.kind == RouteKind::Forward ? 1 : 0;
    }
    const auto usedMicroseconds = cpuMicroseconds() - cpuBefore;
    assert(forwarded < static_cast<std::size_t>(options.rounds) && "some requests stay in the zone");
    return {.name = "routing_decision_cpu", .unit = "us", .value = usedMicroseconds / options.rounds};
}

static BenchFigure measurePlan(const DecisionBenchOptions &options, const ZoneView &view, int waitingAdapters)
{
    ResidencyPlanner planner({.baseModel = [](const AdapterRef &) {
        return std::optional(Model);
    }});
    const EntryId entry("e");
    auto now = Clock::now();
    for (const auto &[id, target] : view.targets()) {
        for (const auto &[adapter, state] : target.adapters) {
            planner.noteDemand(entry, {.adapter = adapter, .arrivals = 1}, now);
        }
    }
    const int rounds = std::max(1, options.rounds / 2000);
    std::size_t actions = 0;
    double usedMicroseconds = 0;
    for (int i = 0; i < rounds; ++i) {
        // The coordinator plans every 50 ms. The actions are not applied to the view, so each round has to
        // plan evictions again.
        now += milliseconds(50);
        for (int waiting = 0; waiting < waitingAdapters; ++waiting) {
            const AdapterRef adapter(fmt::format("new-{}", waiting), "v1");
            planner.noteDemand(entry, {.adapter = adapter, .waiting = 1, .oldestWait = seconds(1)}, now);
        }
        const auto cpuBefore = cpuMicroseconds();
        actions += planner.plan({.view = view, .now = now, .loadsAllowed = 3}).size();
        usedMicroseconds += cpuMicroseconds() - cpuBefore;
    }
    assert((waitingAdapters == 0 || actions > 0) && "waiting adapters lead to actions");
    return {
        .name = fmt::format("plan_cpu_waiting_{}", waitingAdapters), .unit = "us", .value = usedMicroseconds / rounds};
}

BenchFigures runDecisionBench(const DecisionBenchOptions &options)
{
    const auto catalog = makeCatalog(options.adapters);
    const auto view = makeView(options);
    return {
        measureRouting(options, catalog, view),
        measurePlan(options, view, 0),
        measurePlan(options, view, 1),
        measurePlan(options, view, 10),
        {.name = "idle_adapter_memory",
         .unit = "bytes",
         .value = static_cast<double>(catalog.memoryBytes()) / options.adapters},
    };
}

} // namespace tamarackcove
