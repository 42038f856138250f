#include "tamarackcove/Fleet/AdapterLoadTime.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

/// Records loads that take this long. Returns how many of them ended late.
static int recordLoads(AdapterLoadTime &estimate, milliseconds time, int count)
{
    int late = 0;
    for (int i = 0; i < count; ++i) {
        if (time > estimate.expected()) {
            estimate.recordLate();
            ++late;
        } else {
            estimate.recordOnTime();
        }
    }
    return late;
}

// Guards against requests that are sent to servers before every load has ended: at 157 loads a second, their refusals
// used up the retries of the service.
TEST_CASE("loads that all take longer than expected soon end on time")
{
    AdapterLoadTime estimate({.initial = milliseconds(255), .max = milliseconds(320)});
    CHECK(recordLoads(estimate, milliseconds(288), 157) < 20);
    CHECK(estimate.expected() >= milliseconds(288));
    CHECK(estimate.expected() < milliseconds(296));
    CHECK(recordLoads(estimate, milliseconds(288), 1000) < 100);
}

// Guards against requests that wait longer than their loads, in a deployment in which loads end as expected.
TEST_CASE("loads that end on time leave the estimate as it is, and it returns there after a disturbance")
{
    AdapterLoadTime estimate({.initial = milliseconds(255), .max = milliseconds(320)});
    CHECK(recordLoads(estimate, milliseconds(250), 1000) == 0);
    CHECK(estimate.expected() == milliseconds(255));
    recordLoads(estimate, milliseconds(600), 100);
    CHECK(estimate.expected() == milliseconds(320));
    recordLoads(estimate, milliseconds(250), 1000);
    CHECK(estimate.expected() == milliseconds(255));
}
