#include "tamarackcove/Requests/UnreachableTargets.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start{seconds(100)};

static std::set<TargetId> avoided(UnreachableTargets &broken, TimePoint now)
{
    std::set<TargetId> result;
    broken.addTo(result, now);
    return result;
}

TEST_CASE("a target that could not be reached is excluded for the configured time")
{
    // Guards against every request trying a lost target first until the view of the zone shows the loss.
    UnreachableTargets broken(milliseconds(500));
    broken.noteUnreachable(TargetId("t1"), Start);
    CHECK(avoided(broken, Start + milliseconds(499)) == std::set<TargetId>{TargetId("t1")});
    // Guards against excluding a target permanently after one failure.
    CHECK(avoided(broken, Start + milliseconds(500)).empty());
}

TEST_CASE("a target that answers is no longer excluded")
{
    // Guards against a restarted target that stays excluded after it has answered, and is idle while the other targets
    // serve its requests.
    UnreachableTargets broken;
    broken.noteUnreachable(TargetId("t1"), Start);
    broken.noteUnreachable(TargetId("t2"), Start);
    broken.noteReached(TargetId("t1"));
    CHECK(avoided(broken, Start) == std::set<TargetId>{TargetId("t2")});
}

TEST_CASE("a second failure extends the exclusion, and exclusions of the caller remain")
{
    // Guards against an exclusion that ends at the time set by the first failure, and against dropping the caller's
    // exclusions.
    UnreachableTargets broken(milliseconds(500));
    broken.noteUnreachable(TargetId("t1"), Start);
    broken.noteUnreachable(TargetId("t1"), Start + milliseconds(400));
    std::set<TargetId> excluded{TargetId("t3")};
    broken.addTo(excluded, Start + milliseconds(600));
    CHECK(excluded == std::set<TargetId>{TargetId("t1"), TargetId("t3")});
}
