#include "tamarackcove/Fleet/AllowanceShare.h"
#include "tamarackcove/Fleet/AllowanceTimes.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};

static LeasedShare share()
{
    return {.rate = 100,
            .burst = 50,
            .standaloneRate = 400,
            .standaloneBurst = 300,
            .fallbackRate = 10,
            .overdraft = 500,
            .admittedPart = 1};
}

// Guards against an entry that spends more than its share when the leader is lost, or keeps the share for longer than
// the leader counts it as leased.
TEST_CASE("a share is used at its rates while the leader answers, without a leader, and after it has expired")
{
    AllowanceShare bucket;
    bucket.setShare(share(), Start);
    bucket.renew(Start, Start);
    CHECK(bucket.level(Start) == doctest::Approx(0));
    CHECK(bucket.level(Start + milliseconds(300)) == doctest::Approx(30));
    CHECK(bucket.level(Start + milliseconds(800)) == doctest::Approx(50));
    CHECK(bucket.mode(Start + milliseconds(800)) == AllowanceShare::Mode::Standalone);
    CHECK(bucket.level(Start + milliseconds(1000)) == doctest::Approx(130));
    CHECK(bucket.level(Start + milliseconds(9000)) == doctest::Approx(300));
    // Overdrawn without a leader, and only as far as the share allows.
    CHECK(bucket.take(700, Start + milliseconds(9000)));
    CHECK_FALSE(bucket.take(600, Start + milliseconds(9010)));
    CHECK(bucket.mode(Start + AllowanceTimes::Validity) == AllowanceShare::Mode::Expired);
    CHECK(bucket.level(Start + AllowanceTimes::Validity) == doctest::Approx(300));
    // What was saved up does not outlast the share.
    CHECK(bucket.level(Start + AllowanceTimes::Validity + milliseconds(1)) == doctest::Approx(10));
    CHECK(bucket.level(Start + seconds(60)) == doctest::Approx(10));
}

TEST_CASE("the time until a request can be served is known, and absent for one that the share never holds")
{
    AllowanceShare bucket;
    bucket.setShare(share(), Start);
    bucket.renew(Start, Start);
    CHECK(bucket.timeUntil(30, Start) == milliseconds(300));
    CHECK_FALSE(bucket.timeUntil(60, Start).has_value());
    CHECK_FALSE(bucket.take(30, Start));
    CHECK(bucket.take(30, Start + milliseconds(300)));
    CHECK(bucket.timeUntil(0, Start + milliseconds(300)) == milliseconds(0));
}

// Guards against debts of a time without a leader that are forgiven when a new leader follows.
TEST_CASE("an overdrawn share stays overdrawn when the leader answers again")
{
    AllowanceShare bucket;
    bucket.setShare(share(), Start);
    bucket.loseLeader(Start);
    bucket.renew(Start, Start);
    bucket.loseLeader(Start + milliseconds(10));
    CHECK(bucket.take(450, Start + milliseconds(10)));
    const auto debt = bucket.level(Start + milliseconds(10));
    bucket.setShare(share(), Start + milliseconds(20));
    bucket.renew(Start + milliseconds(20), Start + milliseconds(20));
    CHECK(bucket.level(Start + milliseconds(20)) < -400);
    CHECK(bucket.level(Start + milliseconds(20)) == doctest::Approx(debt + 4).epsilon(0.01));
    CHECK_FALSE(bucket.take(1, Start + milliseconds(20)));
}

TEST_CASE("a report holds what was asked for, used and returned since the last one, and nothing without requests")
{
    AllowanceShare bucket;
    bucket.setShare(share(), Start);
    bucket.renew(Start, Start);
    CHECK_FALSE(bucket.takeReport().has_value());
    bucket.noteRequest(30);
    bucket.noteRequest(40);
    CHECK(bucket.take(30, Start + milliseconds(400)));
    bucket.useLease(40);
    bucket.giveBack(30, Start + milliseconds(410));
    const auto report = bucket.takeReport();
    REQUIRE(report.has_value());
    CHECK(report->requests == 2);
    CHECK(report->requestedUnits == doctest::Approx(70));
    CHECK(report->usedUnits == doctest::Approx(70));
    CHECK(report->returnedUnits == doctest::Approx(30));
    CHECK_FALSE(bucket.takeReport().has_value());
}
