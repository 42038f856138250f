#include "tamarackcove/Fleet/CallerBudget.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};

// Guards against second attempts of callers that have missed their goal already and displace first attempts.
TEST_CASE("a caller that has less time left than most has sent its request before")
{
    CallerBudget budget;
    for (int i = 0; i < 20; ++i) {
        CHECK(budget.timeSinceFirstAttempt(milliseconds(2500 - i % 3), Start + milliseconds(10 * i))
              == milliseconds(0));
    }
    CHECK(budget.timeSinceFirstAttempt(milliseconds(1800), Start + milliseconds(300)) == milliseconds(700));
    CHECK(budget.timeSinceFirstAttempt(milliseconds(2500), Start + milliseconds(310)) == milliseconds(0));
    // The common time is still known at the begin of the next period, and forgotten without requests.
    CHECK(budget.timeSinceFirstAttempt(milliseconds(2000), Start + seconds(3611)) == milliseconds(0));
}

// Guards against callers with a short time of their own that are taken for repeated attempts.
TEST_CASE("callers without a common time count as first attempts")
{
    CallerBudget budget;
    for (int i = 0; i < 100; ++i) {
        CHECK(budget.timeSinceFirstAttempt(milliseconds(500 + 50 * (i * 37 % 40)), Start + milliseconds(10 * i))
              == milliseconds(0));
    }
}
