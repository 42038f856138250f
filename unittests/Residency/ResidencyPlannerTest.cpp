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

static void use(ResidencyPlanner &planner, const std::string &name, int perSecond, seconds duration)
{
    for (seconds at{0}; at < duration; at += seconds(1)) {
        planner.noteDemand(Entry, {.adapter = adapter(name), .arrivals = perSecond}, Start - duration + at);
    }
}

TEST_CASE("the load that ends most waiting goes first, and no more loads start than allowed")
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

TEST_CASE("a rare adapter is not kept waiting for ever by hot ones")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t", 1, {"hot"}));
    use(planner, "hot", 20, seconds(60));
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

TEST_CASE("the adapter that costs least to lose is evicted, but not one that was just loaded or is in use")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t", 3, {"hot", "cool", "fresh"}));
    use(planner, "hot", 5, seconds(30));
    use(planner, "cool", 1, seconds(30));
    view.setResidency(TargetId("t"), adapter("fresh"), std::nullopt);
    planner.noteDemand(Entry, waitingFor("fresh", 1), Start);
    CHECK(plan(planner, view, 1, Start) == std::vector{load("t", "fresh")});
    view.setResidency(TargetId("t"), adapter("fresh"), ResidencyState::Resident);
    const auto loaded = Start + milliseconds(500);
    planner.noteDemand(Entry, waitingFor("new", 4), loaded);
    CHECK(plan(planner, view, 1, loaded) == std::vector{retire("t", "cool")});
    // The view shows it resident again: a request was using it.
    const auto refused = loaded + milliseconds(200);
    CHECK(plan(planner, view, 1, refused) == std::vector{retire("t", "hot")});
}

TEST_CASE("a failed load that backs off on its target blocks no other adapter and no other target")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t1", 4));
    planner.noteDemand(Entry, waitingFor("broken", 5), Start);
    planner.noteDemand(Entry, waitingFor("sound", 1), Start);
    const auto mayLoad = [](const TargetId &target, const AdapterRef &loaded) {
        return target != TargetId("t1") || loaded != adapter("broken");
    };
    CHECK(planner.plan({.view = view, .now = Start, .loadsAllowed = 1, .mayLoad = mayLoad})
          == std::vector{load("t1", "sound")});
    view.putTarget(engine("t2", 4));
    CHECK(planner.plan({.view = view, .now = Start, .loadsAllowed = 1, .mayLoad = mayLoad})
          == std::vector{load("t2", "broken")});
}

TEST_CASE("adapters of another base model, and targets that leave, get no load")
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

TEST_CASE("a hot adapter whose holder is full gets a second copy")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t1", 2, {"hot"}));
    view.putTarget(engine("t2", 2));
    use(planner, "hot", 20, seconds(10));
    CHECK(plan(planner, view, 1, Start).empty());
    view.setLoad(TargetId("t1"), 8, 4, Start);
    CHECK(plan(planner, view, 1, Start + seconds(1)) == std::vector{load("t2", "hot")});
}

TEST_CASE("after a shift of the hot set the old one gives way within ten seconds")
{
    ResidencyPlanner planner(options());
    ZoneView view;
    view.putTarget(engine("t", 1, {"old"}));
    use(planner, "old", 10, seconds(120));
    const auto later = Start + seconds(3);
    CHECK(planner.popularity().rate(adapter("old"), Start) > 5.0);
    CHECK(planner.popularity().rate(adapter("old"), later) < 0.1);
    planner.noteDemand(Entry, waitingFor("new", 1), later);
    CHECK(plan(planner, view, 1, later).size() == 1);
}

TEST_CASE("one stray request does not make an adapter look popular")
{
    Popularity popularity({});
    popularity.noteArrivals(adapter("stray"), 1, Start);
    CHECK(popularity.rate(adapter("stray"), Start) < 0.05);
    popularity.noteArrivals(adapter("hot"), 10, Start);
    CHECK(popularity.rate(adapter("hot"), Start) > 1.0);
    popularity.forgetIdle(Start + seconds(3600));
    CHECK(popularity.size() == 0);
}

TEST_CASE("the least recently used baseline evicts by age alone")
{
    ResidencyPlanner planner(leastLoadedWithLru(options()));
    ZoneView view;
    view.putTarget(engine("t", 2, {"popular", "recent"}));
    use(planner, "popular", 50, seconds(30));
    planner.noteDemand(Entry, {.adapter = adapter("recent"), .arrivals = 1}, Start);
    planner.noteDemand(Entry, waitingFor("new", 1), Start);
    CHECK(plan(planner, view, 1, Start) == std::vector{retire("t", "popular")});
}
