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

TEST_CASE("a target that is loading or retiring an adapter is not among its holders")
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

TEST_CASE("replacing or removing a target removes its adapters, and an unknown target gets none")
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

TEST_CASE("clearing an unreachable zone removes its adapters and keeps those of other zones")
{
    ZoneView view;
    view.setRemoteResidency(Zone("b"), Rules, true);
    view.setRemoteResidency(Zone("c"), Rules, true);
    view.clearRemoteResidency(Zone("b"));
    CHECK(view.remoteHolders(Rules) == std::vector<Zone>{Zone("c")});
}
