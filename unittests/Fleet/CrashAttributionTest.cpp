#include "tamarackcove/Fleet/CrashAttribution.h"

#include <cstdint>
#include <doctest/doctest.h>
#include <random>
#include <string>

using namespace tamarackcove;

static ServerIdentity server(std::uint64_t number)
{
    return {.id = TargetId("s" + std::to_string(number)), .startedAt = Incarnation(number)};
}

static const PromptPart Shared("shared");
static const PromptPart Caller("caller");
static const PromptPart Deadly("deadly");

/// A part that only one request has.
static PromptPart own(int request)
{
    return PromptPart("own-" + std::to_string(request));
}

// Guards against servers that crash one after the other under requests of which no two are alike.
TEST_CASE("a part that all crashes share is convicted at the third, and the parts of sound requests are not")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        crashes.recordAnswered(Shared, now);
        crashes.recordAnswered(Caller, now);
        CHECK(crashes.takeConvicted(now).empty());
        now += milliseconds(40);
        crashes.recordCrash(server(i), {Shared, Caller, Deadly, own(i)}, now);
        // A sound request that was waiting at the same server.
        crashes.recordCrash(server(i), {Shared, Caller, own(100 + i)}, now);
    }
    CHECK(crashes.watched(now) == std::set{Deadly});
    // Entries have had no time to object yet.
    CHECK(crashes.takeConvicted(now).empty());
    const auto decisionAt = crashes.nextDecisionAt(now);
    REQUIRE(decisionAt.has_value());
    CHECK(*decisionAt <= now + milliseconds(60));
    CHECK(crashes.takeConvicted(*decisionAt) == std::vector{Deadly});
    CHECK(crashes.watched(*decisionAt).empty());
    CHECK(crashes.takeConvicted(*decisionAt + seconds(5)).empty());
}

// Guards against a part that was sound until now, and is deadly from some moment on.
TEST_CASE("a part that was answered before is convicted once it is not answered any more")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    crashes.recordAnswered(Deadly, now);
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(40);
        crashes.recordCrash(server(i), {Deadly, own(i)}, now);
    }
    CHECK(crashes.takeConvicted(now + milliseconds(100)).empty());
    CHECK(crashes.takeConvicted(now + milliseconds(250)) == std::vector{Deadly});
}

// Guards against refusing sound requests after a rack of servers has crashed at the same moment.
TEST_CASE("parts that many requests share are not convicted when many servers crash together")
{
    CrashAttribution crashes({});
    const TimePoint now{seconds(100)};
    for (int i = 0; i < 20; ++i) {
        for (int request = 0; request < 5; ++request) {
            crashes.recordCrash(server(i), {Shared, Caller, own(10 * i + request)}, now);
        }
    }
    // The next requests with these parts begin elsewhere within the time for objections.
    crashes.recordAnswered(Shared, now + milliseconds(20));
    crashes.recordAnswered(Caller, now + milliseconds(50));
    CHECK(crashes.takeConvicted(now + milliseconds(60)).empty());
    CHECK(crashes.takeConvicted(now + seconds(5)).empty());
    CHECK_FALSE(crashes.nextDecisionAt(now + seconds(5)).has_value());
}

// Guards against a conviction by the requests of one start of a server, which break off together.
TEST_CASE("the requests of one start of a server count as one crash")
{
    CrashAttribution crashes({});
    const TimePoint now{seconds(100)};
    for (int i = 0; i < 10; ++i) {
        crashes.recordCrash(server(1), {Caller, own(i)}, now);
    }
    CHECK(crashes.takeConvicted(now + seconds(5)).empty());
}

// Guards against refusing what has come together with a deadly part by chance.
TEST_CASE("parts that explain the same crashes are convicted only after further crashes")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 4; ++i) {
        now += milliseconds(100);
        crashes.recordCrash(server(i), {Caller, Deadly, own(i)}, now);
        CHECK(crashes.takeConvicted(now + milliseconds(90)).empty());
    }
    now += milliseconds(100);
    crashes.recordCrash(server(4), {Deadly, own(4)}, now);
    CHECK(crashes.takeConvicted(now + milliseconds(90)) == std::vector{Deadly});
}

// Guards against a second deadly part that hides behind the crashes of the first.
TEST_CASE("two deadly parts are convicted one after the other")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    const PromptPart other("other");
    std::vector<PromptPart> convicted;
    for (int i = 0; i < 8; ++i) {
        now += milliseconds(70);
        crashes.recordCrash(server(i), {i % 2 == 0 ? Deadly : other, own(i)}, now);
        const auto more = crashes.takeConvicted(now + milliseconds(60));
        convicted.insert(convicted.end(), more.begin(), more.end());
    }
    CHECK(convicted == std::vector{Deadly, other});
}

// The pattern: one in twenty requests crashes its server, and sound ones share all other parts. Servers that crash for
// other reasons beside it must not hide the deadly part, nor make a sound one suspect.
TEST_CASE("under a load of mixed requests and random crashes only the deadly part is convicted")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed ", seed);
        std::mt19937_64 random(seed);
        CrashAttribution crashes({});
        TimePoint now{seconds(100)};
        std::vector<PromptPart> convicted;
        std::uint64_t start = 0;
        std::size_t deadlyCrashes = 0;
        std::size_t crashesAtConviction = 0;
        for (int request = 0; request < 4000; ++request) {
            now += milliseconds(4);
            const PromptPart caller("caller-" + std::to_string(random() % 40));
            if (random() % 20 == 0 && convicted.empty()) {
                ++deadlyCrashes;
                crashes.recordCrash(server(++start), {Shared, caller, Deadly, own(request)}, now);
                crashes.recordCrash(server(start), {Shared, caller, own(-request)}, now);
            } else if (random() % 100 == 0) {
                crashes.recordCrash(server(++start), {Shared, caller, own(request)}, now);
            } else {
                crashes.recordAnswered(Shared, now);
                crashes.recordAnswered(caller, now);
                crashes.recordAnswered(own(request), now);
            }
            for (auto &part : crashes.takeConvicted(now)) {
                convicted.push_back(std::move(part));
                crashesAtConviction = deadlyCrashes;
            }
        }
        CHECK(convicted == std::vector{Deadly});
        CHECK(crashesAtConviction <= 5);
    }
}
