#include "tamarackcove/Fleet/PlannedStop.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
static constexpr milliseconds OneMillisecond{1};

// Guards against requests that are passed on although the process is killed before they have to be answered.
TEST_CASE("at every moment of the grace period, a request is passed on exactly if it must be answered before the end")
{
    constexpr milliseconds Grace{8000};
    const PlannedStop stop(Start, Grace);
    for (milliseconds arrival{0}; arrival < Grace; arrival += milliseconds(50)) {
        for (const milliseconds timeout :
             {milliseconds(100), milliseconds(800), milliseconds(5000), milliseconds(12000)}) {
            const auto deadline = Start + arrival + timeout;
            CAPTURE(arrival.count());
            CAPTURE(timeout.count());
            CHECK(stop.mayPassOn(deadline) == (deadline <= stop.answersDueAt()));
            if (stop.mayPassOn(deadline)) {
                CHECK(deadline < Start + Grace);
            }
        }
    }
    CHECK(stop.mayPassOn(stop.answersDueAt()));
    CHECK_FALSE(stop.mayPassOn(stop.answersDueAt() + OneMillisecond));
}

// Guards against an entry that closes its port while the balancer still sends it new connections, and against requests
// in progress that are given up long before the process is killed.
TEST_CASE("the entry accepts connections until the balancer has noticed, and ends requests shortly before it is killed")
{
    const PlannedStop stop(Start, milliseconds(8000));
    CHECK(stop.closesAt() >= Start + seconds(2));
    CHECK(stop.answersDueAt() >= Start + milliseconds(7500));
    CHECK(stop.answersDueAt() < stop.exitsAt());
    CHECK(stop.exitsAt() <= Start + milliseconds(7700));
}

// Guards against a process that is killed while it still waits for the balancer.
TEST_CASE("with any grace period the times of a stop are in order and before the process is killed")
{
    for (milliseconds grace{0}; grace <= seconds(20); grace += milliseconds(50)) {
        const PlannedStop stop(Start, grace);
        CAPTURE(grace.count());
        CHECK(stop.closesAt() >= Start);
        CHECK(stop.closesAt() <= stop.answersDueAt());
        CHECK(stop.answersDueAt() <= stop.exitsAt());
        CHECK(stop.exitsAt() <= Start + grace);
    }
}

// Guards against a short grace period that leaves no time for the requests in progress.
TEST_CASE("a short grace period leaves time for the last requests after connections are no longer accepted")
{
    const PlannedStop stop(Start, milliseconds(2000));
    CHECK(stop.answersDueAt() - stop.closesAt() >= milliseconds(500));
    CHECK(stop.mayPassOn(Start + milliseconds(1000)));
}
