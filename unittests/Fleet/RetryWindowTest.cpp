#include "tamarackcove/Fleet/RetryWindow.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};

TEST_CASE("the retries in a window stay below the ratio of the requests plus this entry's part of the slack")
{
    RetryWindow window({.ratio = 0.2, .slack = 50, .window = milliseconds(10000)});
    window.setEntries(5);
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < 100; ++i) {
        window.noteRequest(Start + milliseconds(10 * i));
        ++requests;
        retries += window.takeRetry(Start + milliseconds(10 * i)) ? 1 : 0;
    }
    CHECK(retries > 0);
    CHECK(retries <= 0.2 * requests + 10);
    // The budget is not refilled before the window has passed.
    CHECK_FALSE([&] {
        int more = 0;
        while (window.takeRetry(Start + milliseconds(5000))) {
            ++more;
        }
        return more > 1;
    }());
    CHECK(window.takeRetry(Start + milliseconds(12000)));
}

TEST_CASE("the slack is divided among the entries")
{
    RetryWindow window({.ratio = 0, .slack = 50, .window = milliseconds(10000)});
    window.setEntries(50);
    CHECK_FALSE(window.takeRetry(Start));
    window.setEntries(2);
    CHECK(window.takeRetry(Start));
}
