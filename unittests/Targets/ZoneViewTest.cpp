#include "tamarackcove/Targets/ZoneView.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const AdapterRef Rules("rules", "1");

static TargetView engine(const std::string &id)
{
    TargetView target;
    target.id = TargetId(id);
    return target;
}

TEST_CASE("an adapter that is loading or retiring gets no new work")
{
    ZoneView view;
    view.putTarget(engine("t1"));
    view.setResidency(TargetId("t1"), Rules, ResidencyState::Loading);
    CHECK(view.holders(Rules).empty());
    CHECK(view.isLoading(Rules));
    view.setResidency(TargetId("t1"), Rules, ResidencyState::Resident);
    CHECK(view.holders(Rules).size() == 1);
    view.setResidency(TargetId("t1"), Rules, ResidencyState::Retiring);
    CHECK(view.holders(Rules).empty());
}

TEST_CASE("a target that announces again after a restart keeps nothing it held before")
{
    ZoneView view;
    view.putTarget(engine("t1"));
    view.setResidency(TargetId("t1"), Rules, ResidencyState::Resident);
    view.putTarget(engine("t1"));
    CHECK(view.holders(Rules).empty());
    view.removeTarget(TargetId("t1"));
    view.setResidency(TargetId("t1"), Rules, ResidencyState::Resident);
    CHECK(view.holders(Rules).empty());
}

TEST_CASE("a zone that cannot be reached holds nothing")
{
    ZoneView view;
    view.setRemoteResidency(Zone("b"), Rules, true);
    view.setRemoteResidency(Zone("c"), Rules, true);
    view.forgetZone(Zone("b"));
    CHECK(view.remoteHolders(Rules) == std::vector<Zone>{Zone("c")});
}
