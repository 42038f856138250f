#include "tamarackcove/Requests/RequestLife.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

using Phase = RequestLife::Phase;

TEST_CASE("a request that no attempt can have run is refused as not run")
{
    RequestLife life(true);
    life.admit();
    life.waitForLoad();
    life.loadEnded();
    life.dispatch();
    life.notRun();
    CHECK(life.mayDispatch());
    life.refuse();
    CHECK(life.phase() == Phase::RefusedNotRun);
}

TEST_CASE("after one attempt that may have run, giving up never says not run")
{
    RequestLife life(true);
    life.admit();
    life.dispatch();
    life.lose();
    CHECK(life.mayDispatch());
    life.dispatch();
    life.notRun();
    life.refuse();
    CHECK(life.phase() == Phase::OutcomeUnknown);
}

TEST_CASE("a call that may not be repeated is never dispatched again once it may have run")
{
    RequestLife life(false);
    life.admit();
    life.reserve();
    life.dispatch();
    life.lose();
    CHECK_FALSE(life.mayDispatch());
}

TEST_CASE("a response that has begun is resumed, not dispatched again")
{
    RequestLife life(true);
    life.admit();
    life.dispatch();
    life.stream();
    life.breakStream();
    CHECK_FALSE(life.mayDispatch());
    life.resume();
    CHECK(life.phase() == Phase::Streaming);
    life.finish();
    CHECK(life.phase() == Phase::Finished);
}
