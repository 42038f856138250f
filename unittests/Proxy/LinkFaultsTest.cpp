#include "tamarackcove/Proxy/LinkFaults.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("a silenced link forwards bytes on new connections only")
{
    LinkFaults faults;
    faults.lastSilencedConnection = 3;
    CHECK_FALSE(faults.canForward(3, LinkDirection::ToTarget));
    CHECK_FALSE(faults.canForward(3, LinkDirection::ToCaller));
    CHECK(faults.canForward(4, LinkDirection::ToTarget));
}

TEST_CASE("a hold in one direction does not stop the other direction")
{
    LinkFaults faults;
    faults.holdToCaller = true;
    CHECK(faults.canForward(1, LinkDirection::ToTarget));
    CHECK_FALSE(faults.canForward(1, LinkDirection::ToCaller));
}

TEST_CASE("the transmission time follows from the bandwidth, and is zero without a limit")
{
    LinkFaults faults;
    CHECK(faults.transmissionTime(1000) == Duration(0));
    faults.bandwidth = 1000;
    CHECK(faults.transmissionTime(500) == milliseconds(500));
}
