#include "tamarackcove/Proxy/LinkFaults.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("a silenced link holds its old connections and passes the new ones")
{
    LinkFaults faults;
    faults.silentUpTo = 3;
    CHECK_FALSE(faults.passes(3, LinkDirection::ToTarget));
    CHECK_FALSE(faults.passes(3, LinkDirection::ToCaller));
    CHECK(faults.passes(4, LinkDirection::ToTarget));
}

TEST_CASE("a one-way hold leaves the other direction open")
{
    LinkFaults faults;
    faults.holdToCaller = true;
    CHECK(faults.passes(1, LinkDirection::ToTarget));
    CHECK_FALSE(faults.passes(1, LinkDirection::ToCaller));
}

TEST_CASE("bandwidth gives each byte its time")
{
    LinkFaults faults;
    CHECK(faults.occupation(1000) == Duration(0));
    faults.bandwidth = 1000;
    CHECK(faults.occupation(500) == milliseconds(500));
}
