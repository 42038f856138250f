#include "tamarackcove/Store/StoreModel.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("loads take proportionally longer when more than fullSpeedLoads are in flight")
{
    StoreModel store({.maxFullSpeedLoads = 2, .loadTime = milliseconds(250)});
    const TimePoint now(seconds(1));
    CHECK(store.beginLoad(now) == milliseconds(250));
    CHECK(store.beginLoad(now) == milliseconds(250));
    CHECK(store.beginLoad(now) == milliseconds(375));
    CHECK(store.beginLoad(now) == milliseconds(500));
}

TEST_CASE("a load that exceeds the rate or the concurrency limit is counted as a violation, one within both is not")
{
    StoreModel store({.loadsPerSecond = 2, .concurrentLoads = 2});
    const TimePoint start(seconds(1));
    (void)store.beginLoad(start);
    (void)store.beginLoad(start + milliseconds(10));
    store.endLoad(false);
    CHECK(store.counts().rateViolations == 0);
    (void)store.beginLoad(start + milliseconds(999));
    CHECK(store.counts().rateViolations == 1);
    CHECK(store.counts().concurrencyViolations == 0);
    (void)store.beginLoad(start + seconds(5));
    CHECK(store.counts().rateViolations == 1);
    CHECK(store.counts().concurrencyViolations == 1);
    CHECK(store.counts().maxInFlight == 3);
}
