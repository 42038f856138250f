#include "tamarackcove/Residency/ZoneLoadLimiter.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));

static PermitAnswer permit(std::uint64_t number, LoadLimits permittedLimits, milliseconds validFor)
{
    return {.permittedLimits = permittedLimits, .validFor = validFor, .stamp = {.term = 1, .number = number}};
}

TEST_CASE("a zone starts at most one load more than the rate of its permit allows")
{
    ZoneLoadLimiter share({}, Start);
    CHECK_FALSE(share.tryStart(Start));
    share.applyAnswer(permit(1, {.loadsPerSecond = 3, .concurrentLoads = 100}, seconds(20)), Start, Start);
    int started = 0;
    for (auto now = Start; now <= Start + seconds(10); now += milliseconds(7)) {
        while (share.tryStart(now)) {
            ++started;
        }
    }
    CHECK(started >= 29);
    CHECK(started <= 31);
}

TEST_CASE("loads in progress count against the permit until they end, and an expired permit allows no load")
{
    ZoneLoadLimiter share({}, Start);
    share.applyAnswer(permit(1, {.loadsPerSecond = 1000, .concurrentLoads = 2}, seconds(5)), Start, Start);
    CHECK(share.tryStart(Start + milliseconds(10)));
    CHECK(share.tryStart(Start + milliseconds(20)));
    CHECK_FALSE(share.tryStart(Start + seconds(1)));
    share.recordLoadEnd();
    CHECK(share.tryStart(Start + seconds(1)));
    share.recordLoadEnd();
    CHECK_FALSE(share.tryStart(Start + seconds(5)));
}

TEST_CASE("a coordinator that never received an answer uses the partition quota only after the leader has set it aside")
{
    ZoneLoadLimiter share({.lease = seconds(5), .longestLoad = seconds(10)}, Start);
    share.setQuota({.loadsPerSecond = 1, .concurrentLoads = 1}, Start);
    CHECK_FALSE(share.tryStart(Start + seconds(19)));
    CHECK(share.tryStart(Start + seconds(22)));
    CHECK_FALSE(share.tryStart(Start + seconds(24)));
    share.recordLoadEnd();
    CHECK(share.tryStart(Start + seconds(24)));
}
