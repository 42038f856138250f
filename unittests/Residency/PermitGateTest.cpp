#include "tamarackcove/Residency/PermitGate.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));

TEST_CASE("loads never exceed the rate of the permit by more than one")
{
    PermitGate gate;
    CHECK(gate.allowed(Start) == 0);
    gate.setPermit(3, 100, Start + seconds(20), Start);
    int started = 0;
    for (auto now = Start; now <= Start + seconds(10); now += milliseconds(7)) {
        while (gate.allowed(now) > 0) {
            gate.start(now);
            ++started;
        }
    }
    CHECK(started >= 30);
    CHECK(started <= 31);
}

TEST_CASE("loads under way count against the permit until they end, and an old permit allows none")
{
    PermitGate gate;
    gate.setPermit(1000, 2, Start + seconds(5), Start);
    gate.start(Start);
    gate.start(Start + milliseconds(10));
    CHECK(gate.allowed(Start + seconds(1)) == 0);
    gate.finish();
    CHECK(gate.allowed(Start + seconds(1)) == 1);
    CHECK(gate.allowed(Start + seconds(5)) == 0);
}
