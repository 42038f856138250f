#include "tamarackcove/Store/StoreModel.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("loads beyond the full-speed number take proportionally longer")
{
    StoreModel store({.fullSpeedLoads = 2, .loadTime = milliseconds(250)});
    const TimePoint now(seconds(1));
    CHECK(store.begin(now) == milliseconds(250));
    CHECK(store.begin(now) == milliseconds(250));
    CHECK(store.begin(now) == milliseconds(375));
    CHECK(store.begin(now) == milliseconds(500));
}

TEST_CASE("a load over the rate or over the concurrency is counted, one within both is not")
{
    StoreModel store({.loadsPerSecond = 2, .concurrentLoads = 2});
    const TimePoint start(seconds(1));
    (void)store.begin(start);
    (void)store.begin(start + milliseconds(10));
    store.end(false);
    CHECK(store.counts().rateViolations == 0);
    (void)store.begin(start + milliseconds(999));
    CHECK(store.counts().rateViolations == 1);
    CHECK(store.counts().concurrencyViolations == 0);
    (void)store.begin(start + seconds(5));
    CHECK(store.counts().rateViolations == 1);
    CHECK(store.counts().concurrencyViolations == 1);
    CHECK(store.counts().maxInFlight == 3);
}
