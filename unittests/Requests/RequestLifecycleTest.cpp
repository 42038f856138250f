#include "tamarackcove/Requests/RequestLifecycle.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

using Phase = RequestLifecycle::Phase;

TEST_CASE("a request is refused as not run if no attempt can have run")
{
    RequestLifecycle life(true);
    life.admit();
    life.waitForLoad();
    life.endLoadWait();
    life.dispatch();
    life.recordNotRun();
    CHECK(life.mayDispatch());
    life.refuse();
    CHECK(life.phase() == Phase::RefusedNotRun);
}

TEST_CASE("a request is not refused as not run after an attempt that may have run")
{
    RequestLifecycle life(true);
    life.admit();
    life.dispatch();
    life.recordLostResponse();
    CHECK(life.mayDispatch());
    life.dispatch();
    life.recordNotRun();
    life.refuse();
    CHECK(life.phase() == Phase::OutcomeUnknown);
}

TEST_CASE("a call that is not repeatable is not dispatched again after an attempt that may have run")
{
    RequestLifecycle life(false);
    life.admit();
    life.reserve();
    life.dispatch();
    life.recordLostResponse();
    CHECK_FALSE(life.mayDispatch());
}

TEST_CASE("a request whose response has begun is resumed after a break, not dispatched again")
{
    RequestLifecycle life(true);
    life.admit();
    life.dispatch();
    life.startStream();
    life.breakStream();
    CHECK_FALSE(life.mayDispatch());
    life.resume();
    CHECK(life.phase() == Phase::Streaming);
    life.finish();
    CHECK(life.phase() == Phase::Finished);
}
