#include "tamarackcove/Entry/Policy.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("the pack threshold grows with the weight of batch efficiency relative to that of load stalls")
{
    const auto equal = packThreshold({});
    CHECK(equal == doctest::Approx(0.75));
    CHECK(packThreshold({.loadStall = 1, .batchEfficiency = 2}) > equal);
    CHECK(packThreshold({.loadStall = 2, .batchEfficiency = 1}) < equal);
    CHECK(packThreshold({.loadStall = 0, .batchEfficiency = 1}) <= 1.0);
    CHECK(packThreshold({.loadStall = 0, .batchEfficiency = 0}) == doctest::Approx(0.75));
}

TEST_CASE("every listed policy can be created by its name, and an unknown name is refused")
{
    for (const auto name : policyNames()) {
        CHECK(policyByName(name, {}));
    }
    CHECK_FALSE(policyByName("no_such_policy", {}));
}
