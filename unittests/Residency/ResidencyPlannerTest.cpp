#include "tamarackcove/Residency/ResidencyPlanner.h"

#include "tamarackcove/Residency/Baselines.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackcove;

static const BaseModel Model("base");
static const EntryId Entry("e1");
static const TimePoint Start{seconds(1000)};

static AdapterRef adapter(const std::string &name)
{
    return {name, "1"};
}

static ResidencyPlanner::Options options()
{
    ResidencyPlanner::Options result;
    result.baseModel = [](const AdapterRef &) {
        return std::optional(Model);
    };
    return result;
}

static TargetView engine(const std::string &id, int slots, std::vector<std::string> resident = {})
{
    TargetView target;
    target.id = TargetId(id);
    target.baseModel = Model;
    target.adapterSlots = slots;
    target.maxBatch = 8;
    for (const auto &name : resident) {
        target.adapters[adapter(name)] = ResidencyState::Resident;
    }
    return target;
}

static LoadDemand waitingFor(const std::string &name, int waiting, milliseconds oldest = milliseconds(10))
{
    return {.adapter = adapter(name), .waiting = waiting, .oldestWait = oldest, .arrivals = waiting};
}

static std::vector<ResidencyAction> plan(ResidencyPlanner &planner, const ZoneView &view, int loadsAllowed,
                                         TimePoint now)
{
    return planner.plan({.view = view, .now = now, .loadsAllowed = loadsAllowed});
}

static ResidencyAction load(const std::string &target, const std::string &name)
{
    return {.kind = ResidencyActionKind::Load, .target = TargetId(target), .adapter = adapter(name)};
}

static ResidencyAction retire(const std::string &target, const std::string &name)
{
    return {.kind = ResidencyActionKind::Retire, .target = TargetId(target), .adapter = adapter(name)};
}

static void reportArrivals(ResidencyPlanner &planner, const std::string &name, int perSecond, seconds duration)
{
    for (seconds at{0}; at < duration; at += seconds(1)) {
        planner.noteDemand(Entry, {.adapter = adapter(name), .arrivals = perSecond}, Start - duration + at);
    }
}

TEST_CASE("the load with the most waiting requests is planned first, and no more loads are planned than allowed")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t", 4));
    planner.noteDemand(Entry, waitingFor("rare", 1), Start);
    planner.noteDemand(Entry, waitingFor("hot", 9), Start);
    const auto actions = plan(planner, view, 1, Start);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0] == load("t", "hot"));
    CHECK(plan(planner, view, 0, Start).empty());
}

TEST_CASE("a rarely used adapter is loaded eventually although popular adapters fill the slots")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t", 1, {"hot"}));
    reportArrivals(planner, "hot", 20, seconds(60));
    seconds waited{0};
    bool retired = false;
    while (!retired && waited < seconds(20)) {
        const auto now = Start + waited;
        planner.noteDemand(Entry, {.adapter = adapter("hot"), .arrivals = 20}, now);
        planner.noteDemand(Entry, waitingFor("rare", 1, waited), now);
        retired = !plan(planner, view, 1, now).empty();
        waited += seconds(1);
    }
    CHECK(retired);
}

TEST_CASE("the adapter with the lowest eviction cost is evicted, but not one that was just loaded or is in use")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t", 3, {"hot", "cool", "fresh"}));
    reportArrivals(planner, "hot", 5, seconds(30));
    reportArrivals(planner, "cool", 1, seconds(30));
    view.setResidency(TargetId("t"), adapter("fresh"), std::nullopt);
    planner.noteDemand(Entry, waitingFor("fresh", 1), Start);
    CHECK(plan(planner, view, 1, Start) == std::vector{load("t", "fresh")});
    view.setResidency(TargetId("t"), adapter("fresh"), ResidencyState::Resident);
    const auto afterLoad = Start + milliseconds(500);
    planner.noteDemand(Entry, waitingFor("new", 4), afterLoad);
    CHECK(plan(planner, view, 1, afterLoad) == std::vector{retire("t", "cool")});
    // The view still shows the adapter "cool" as resident after its retirement began, so requests used the adapter.
    const auto afterRefusedRelease = afterLoad + milliseconds(200);
    CHECK(plan(planner, view, 1, afterRefusedRelease) == std::vector{retire("t", "hot")});
}

TEST_CASE("a load in backoff on a target delays neither other adapters nor loads on other targets")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t1", 4));
    planner.noteDemand(Entry, waitingFor("broken", 5), Start);
    planner.noteDemand(Entry, waitingFor("sound", 1), Start);
    const auto mayLoad = [](const TargetId &target, const AdapterRef &afterLoad) {
        return target != TargetId("t1") || afterLoad != adapter("broken");
    };
    CHECK(planner.plan({.view = view, .now = Start, .loadsAllowed = 1, .mayLoad = mayLoad})
          == std::vector{load("t1", "sound")});
    view.putTarget(engine("t2", 4));
    CHECK(planner.plan({.view = view, .now = Start, .loadsAllowed = 1, .mayLoad = mayLoad})
          == std::vector{load("t2", "broken")});
}

TEST_CASE("no load is planned on a target with another base model or on a leaving target")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    auto other = engine("other", 4);
    other.baseModel = BaseModel("another");
    view.putTarget(other);
    view.putTarget(engine("leaving", 4));
    view.setHealth(TargetId("leaving"), TargetHealth::Leaving);
    planner.noteDemand(Entry, waitingFor("a", 1), Start);
    CHECK(plan(planner, view, 5, Start).empty());
}

TEST_CASE("a popular adapter whose only holder has a full batch gets a second copy")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t1", 2, {"hot"}));
    view.putTarget(engine("t2", 2));
    reportArrivals(planner, "hot", 20, seconds(10));
    CHECK(plan(planner, view, 1, Start).empty());
    view.setLoad(TargetId("t1"), 8, 4, Start);
    CHECK(plan(planner, view, 1, Start + seconds(1)) == std::vector{load("t2", "hot")});
}

TEST_CASE("after a shift of demand a formerly popular adapter is evicted within ten seconds")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t", 1, {"old"}));
    reportArrivals(planner, "old", 10, seconds(120));
    const auto later = Start + seconds(3);
    CHECK(planner.popularity().rate(adapter("old"), Start) > 5.0);
    CHECK(planner.popularity().rate(adapter("old"), later) < 0.1);
    planner.noteDemand(Entry, waitingFor("new", 1), later);
    CHECK(plan(planner, view, 1, later).size() == 1);
}

TEST_CASE("a single request does not give an adapter a high rate")
{
    Popularity popularity({});
    popularity.noteArrivals(adapter("stray"), 1, Start);
    CHECK(popularity.rate(adapter("stray"), Start) < 0.05);
    popularity.noteArrivals(adapter("hot"), 10, Start);
    CHECK(popularity.rate(adapter("hot"), Start) > 1.0);
    popularity.removeIdle(Start + seconds(3600));
    CHECK(popularity.size() == 0);
}

TEST_CASE("the least recently used baseline evicts by time of last use regardless of the request rate")
{
    ResidencyPlanner planner(leastLoadedWithLru(options()));
    ZoneView view;
    view.putTarget(engine("t", 2, {"popular", "recent"}));
    reportArrivals(planner, "popular", 50, seconds(30));
    planner.noteDemand(Entry, {.adapter = adapter("recent"), .arrivals = 1}, Start);
    planner.noteDemand(Entry, waitingFor("new", 1), Start);
    CHECK(plan(planner, view, 1, Start) == std::vector{retire("t", "popular")});
}
