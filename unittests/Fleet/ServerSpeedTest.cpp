#include "tamarackcove/Fleet/ServerSpeed.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
/// An engine gets about seven requests a second.
static constexpr milliseconds ObservationInterval{140};

// Guards against engines that lose requests because of noise: 15 of 100 requests take 2.5 times as long at each of
// them.
TEST_CASE("answers that take 2.5 times as long for 15 in 100 do not make a server slow")
{
    std::mt19937_64 random(1);
    std::bernoulli_distribution noisy(0.15);
    int slow = 0;
    for (int server = 0; server < 60; ++server) {
        ServerSpeed speed;
        TimePoint now = Start;
        for (int i = 0; i < 200; ++i, now += ObservationInterval) {
            speed.add({.count = 1, .logSum = noisy(random) ? std::log(2.5) : 0}, now);
            slow += speed.slowness(now) > 1 ? 1 : 0;
        }
    }
    CHECK(slow < 60 * 200 / 100);
}

// Guards against requests for a server that has become slow by 5: each of its streams is late.
TEST_CASE("a server that has become slow by a factor of 5 is found within two seconds, and tried again later")
{
    ServerSpeed speed;
    TimePoint now = Start;
    for (int i = 0; i < 100; ++i, now += ObservationInterval) {
        speed.add({.count = 1, .logSum = 0}, now);
    }
    CHECK(speed.slowness(now) == 1);
    const auto slowSince = now;
    while (speed.slowness(now) < 2.5 && now < slowSince + seconds(10)) {
        now += ObservationInterval;
        speed.add({.count = 1, .logSum = std::log(5)}, now);
    }
    CHECK(now <= slowSince + seconds(2));
    CHECK(speed.slowness(now + seconds(1)) > 2);
    CHECK(speed.slowness(now + seconds(30)) == 1);
    CHECK_FALSE(speed.isForgotten(now + seconds(30)));
    CHECK(speed.isForgotten(now + seconds(61)));
}

// Guards against one odd report that makes a server slow for a long time.
TEST_CASE("numbers that no entry can have observed are limited or passed over")
{
    ServerSpeed speed;
    speed.add({.count = -3, .logSum = 100}, Start);
    speed.add({.count = 1, .logSum = std::nan("")}, Start);
    CHECK(speed.slowness(Start) == 1);
    speed.add({.count = 2000000000, .logSum = 1e300}, Start);
    CHECK(speed.slowness(Start) == 8);
}
