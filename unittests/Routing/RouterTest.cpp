#include "tamarackcove/Routing/Router.h"

#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace tamarackcove;

static const AdapterRef Rules("rules", "1");
static const Zone ZoneA("a");
static const Zone ZoneB("b");

static TargetView engine(const std::string &id, bool holdsRules, int running = 0)
{
    TargetView target;
    target.id = TargetId(id);
    target.maxBatch = 10;
    target.running = running;
    if (holdsRules) {
        target.adapters[Rules] = ResidencyState::Resident;
    }
    return target;
}

static Router::Request request()
{
    return {.adapter = Rules};
}

TEST_CASE("a request is routed only to a serving target that holds its adapter")
{
    Router router({.zone = ZoneA});
    ZoneView view;
    view.putTarget(engine("empty", false));
    view.putTarget(engine("leaving", true));
    view.setHealth(TargetId("leaving"), TargetHealth::Leaving);
    view.putTarget(engine("holder", true, 9));
    for (int i = 0; i < 50; ++i) {
        CHECK(router.choose(request(), view, {ZoneA}).target == TargetId("holder"));
    }
    auto again = request();
    again.excluded = {TargetId("holder")};
    CHECK(router.choose(again, view, {ZoneA}).kind == RouteKind::WaitForLoad);
}

TEST_CASE("a suspect target is chosen only if no serving target holds the adapter")
{
    Router router({.zone = ZoneA});
    ZoneView view;
    view.putTarget(engine("suspect", true));
    view.setHealth(TargetId("suspect"), TargetHealth::Suspect);
    CHECK(router.choose(request(), view, {ZoneA}).target == TargetId("suspect"));
    view.putTarget(engine("serving", true, 10));
    CHECK(router.choose(request(), view, {ZoneA}).target == TargetId("serving"));
}

TEST_CASE("an adapter that no zone holds is loaded only in its home zone, on which the entries of all zones agree")
{
    const std::vector<Zone> zones{ZoneA, ZoneB, Zone("c")};
    const auto home = Router::homeZone(Rules, zones);
    ZoneView view;
    view.putTarget(engine("t", false));
    for (const auto &own : zones) {
        Router router({.zone = own});
        const auto choice = router.choose(request(), view, zones);
        CHECK(choice.zone == home);
        CHECK(choice.kind == (own == home ? RouteKind::WaitForLoad : RouteKind::Forward));
    }
}

TEST_CASE("a forwarded request is never forwarded again")
{
    Router router({.zone = ZoneA});
    ZoneView view;
    view.putTarget(engine("t", false));
    view.setRemoteResidency(ZoneB, Rules, true);
    CHECK(router.choose(request(), view, {ZoneA, ZoneB}).kind == RouteKind::Forward);
    auto forwarded = request();
    forwarded.mayForward = false;
    CHECK(router.choose(forwarded, view, {ZoneA, ZoneB}).kind == RouteKind::WaitForLoad);
}

TEST_CASE("a request is not forwarded to an unreachable zone")
{
    Router router({.zone = ZoneA});
    ZoneView view;
    view.putTarget(engine("t", false));
    view.setRemoteResidency(ZoneB, Rules, true);
    CHECK(router.choose(request(), view, {ZoneA}).kind == RouteKind::WaitForLoad);
}

TEST_CASE("requests dispatched since the last load report count as load, so that a burst is spread over the targets")
{
    Router router({.zone = ZoneA});
    ZoneView view;
    view.putTarget(engine("t1", true, 8));
    view.putTarget(engine("t2", true, 8));
    const auto now = TimePoint(seconds(100));
    for (int i = 0; i < 40; ++i) {
        router.noteDispatched(router.choose(request(), view, {ZoneA}).target, now);
    }
    const auto first = router.estimatedLoad(*view.find(TargetId("t1")));
    const auto second = router.estimatedLoad(*view.find(TargetId("t2")));
    CHECK(std::max(first, second) - std::min(first, second) < 0.5);
}

TEST_CASE("entries that share one stale report do not all choose the same target")
{
    constexpr int Targets = 20;
    constexpr int Entries = 30;
    ZoneView view;
    for (int i = 0; i < Targets; ++i) {
        view.putTarget(engine("t" + std::to_string(i), true, i == 0 ? 0 : 9));
    }
    const auto busiest = [&view](const Router::ChooseTarget &chooser) {
        std::map<TargetId, int> chosen;
        for (std::uint64_t entry = 0; entry < Entries; ++entry) {
            Router router({.zone = ZoneA, .seed = entry + 1, .chooseTarget = chooser});
            ++chosen[router.choose(request(), view, {ZoneA}).target];
        }
        return std::max_element(chosen.begin(), chosen.end(),
                                [](const auto &left, const auto &right) { return left.second < right.second; })
            ->second;
    };
    CHECK(busiest(Router::leastLoaded()) == Entries);
    CHECK(busiest(Router::betterOfTwo(0)) <= Entries / 3);
}

TEST_CASE("bounded rendezvous routes an adapter to one target until that target is overloaded")
{
    Router router({.zone = ZoneA, .chooseTarget = Router::boundedRendezvous(1.25), .ignoreResidency = true});
    ZoneView view;
    for (int i = 0; i < 5; ++i) {
        view.putTarget(engine("t" + std::to_string(i), false, 4));
    }
    const auto first = router.choose(request(), view, {ZoneA}).target;
    CHECK(router.choose(request(), view, {ZoneA}).target == first);
    view.setLoad(first, 10, 5, TimePoint());
    CHECK(router.choose(request(), view, {ZoneA}).target != first);
}
