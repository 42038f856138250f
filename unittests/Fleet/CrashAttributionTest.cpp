#include "tamarackcove/Fleet/CrashAttribution.h"

#include <algorithm>
#include <cstdint>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <string>

using namespace tamarackcove;

static ServerIdentity server(std::uint64_t number)
{
    return {.id = TargetId("s" + std::to_string(number)), .startedAt = Incarnation(number)};
}

static const CrashSuspect Shared("shared");
static const CrashSuspect Caller("caller");
static const CrashSuspect Deadly("deadly");

/// A part that only one request has.
static CrashSuspect own(int request)
{
    return CrashSuspect("own-" + std::to_string(request));
}

/// Records a request with these suspects that was sent when its server crashed, or at `sentAt`.
static void recordCrash(CrashAttribution &crashes, const ServerIdentity &server,
                        const std::vector<CrashSuspect> &suspects, TimePoint now,
                        std::optional<TimePoint> sentAt = std::nullopt)
{
    std::map<CrashSuspect, TimePoint> sentTimes;
    for (const auto &suspect : suspects) {
        sentTimes.emplace(suspect, sentAt.value_or(now));
    }
    crashes.recordCrash(server, now, sentTimes, now);
}

/// The suspect that a whole request is.
static CrashSuspect request(int number)
{
    return CrashSuspect(std::string(RequestSuspectPrefix) + std::to_string(number));
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
        recordCrash(crashes, server(i), {Shared, Caller, Deadly, own(i)}, now);
        // A sound request that was waiting at the same server.
        recordCrash(crashes, server(i), {Shared, Caller, own(100 + i)}, now);
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
        recordCrash(crashes, server(i), {Deadly, own(i)}, now);
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
            recordCrash(crashes, server(i), {Shared, Caller, own(10 * i + request)}, now);
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
        recordCrash(crashes, server(1), {Caller, own(i)}, now);
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
        recordCrash(crashes, server(i), {Caller, Deadly, own(i)}, now);
        CHECK(crashes.takeConvicted(now + milliseconds(90)).empty());
    }
    now += milliseconds(100);
    recordCrash(crashes, server(4), {Deadly, own(4)}, now);
    CHECK(crashes.takeConvicted(now + milliseconds(90)) == std::vector{Deadly});
}

// Guards against a second deadly part that hides behind the crashes of the first.
TEST_CASE("two deadly parts are convicted one after the other")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    const CrashSuspect other("other");
    std::vector<CrashSuspect> convicted;
    for (int i = 0; i < 8; ++i) {
        now += milliseconds(70);
        recordCrash(crashes, server(i), {i % 2 == 0 ? Deadly : other, own(i)}, now);
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
        std::vector<CrashSuspect> convicted;
        std::uint64_t start = 0;
        std::size_t deadlyCrashes = 0;
        std::size_t crashesAtConviction = 0;
        for (int request = 0; request < 4000; ++request) {
            now += milliseconds(4);
            const CrashSuspect caller("caller-" + std::to_string(random() % 40));
            if (random() % 20 == 0 && convicted.empty()) {
                ++deadlyCrashes;
                recordCrash(crashes, server(++start), {Shared, caller, Deadly, own(request)}, now);
                recordCrash(crashes, server(start), {Shared, caller, own(-request)}, now);
            } else if (random() % 100 == 0) {
                recordCrash(crashes, server(++start), {Shared, caller, own(request)}, now);
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

// Guards against a request without parts of a prompt that is sent again and again, and crashes each server.
TEST_CASE("a request that comes again is convicted at the third crash, and the sound ones beside it are not")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        CHECK(crashes.takeConvicted(now).empty());
        now += seconds(1);
        recordCrash(crashes, server(i), {request(0)}, now);
        // One sound request that comes each time, was answered between, and is at the server again; and others that
        // come once.
        recordCrash(crashes, server(i), {request(1)}, now, now - milliseconds(20));
        recordCrash(crashes, server(i), {request(10 + i)}, now);
        crashes.recordAnswered(request(1), now + milliseconds(30));
    }
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{request(0)});
    CHECK(crashes.takeConvicted(now + seconds(5)).empty());
}

// Guards against refusing a sound request that many callers send, after all servers have crashed at the same moment.
TEST_CASE("requests that were sent before the first crash are not convicted when many servers crash together")
{
    CrashAttribution crashes({});
    const TimePoint now{seconds(100)};
    for (int i = 0; i < 20; ++i) {
        recordCrash(crashes, server(i), {request(0)}, now + milliseconds(i), now - milliseconds(10));
    }
    CHECK(crashes.takeConvicted(now + seconds(5)).empty());
    // A request that was sent again after that counts once more.
    recordCrash(crashes, server(30), {request(0)}, now + seconds(6), now + seconds(5));
    CHECK(crashes.takeConvicted(now + seconds(7)).empty());
}

// Guards against the conviction of a part that only one request has, where a part of many requests is the deadly one.
TEST_CASE("the conviction of a request does not hide the part of its prompt that crashes servers")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(500);
        recordCrash(crashes, server(i), {Deadly, own(0), request(0)}, now);
    }
    // Both parts explain all crashes, the request does so alone among requests.
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{request(0)});
    now += milliseconds(500);
    recordCrash(crashes, server(3), {Deadly, own(1), request(1)}, now);
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{Deadly});
}

// Guards against refusing a sound request whose connections were reset by live servers.
TEST_CASE("a crash of a server that goes on sending heartbeats does not count, and a conviction by it is withdrawn")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(300);
        recordCrash(crashes, server(i), {request(0)}, now);
    }
    // A heartbeat that was on its way when the server crashed.
    crashes.recordAlive(server(0), now);
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{request(0)});
    CHECK(crashes.takeAcquitted().empty());
    crashes.recordAlive(server(0), now + seconds(2));
    CHECK(crashes.takeAcquitted() == std::vector{request(0)});
    CHECK(crashes.takeAcquitted().empty());
    CHECK(crashes.takeConvicted(now + seconds(3)).empty());
}

// Guards against three further crashes after each quarantine that ends.
TEST_CASE("a suspect on probation is convicted again at its first crash, unless it was answered")
{
    CrashAttribution crashes({});
    const TimePoint now{seconds(100)};
    // A crash from before its release does not count.
    recordCrash(crashes, server(0), {request(0)}, now - seconds(1));
    crashes.setVerdicts({}, {request(0), request(1)});
    CHECK(crashes.takeConvicted(now).empty());
    recordCrash(crashes, server(1), {request(0)}, now);
    recordCrash(crashes, server(1), {request(1)}, now);
    crashes.recordAnswered(request(1), now + milliseconds(10));
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{request(0)});
}

// Guards against a leader that a flood of crashes and suspects keeps from its other work.
TEST_CASE("the evidence is bounded, and the newest is kept")
{
    const CrashAttribution::Options options;
    CrashAttribution crashes(options);
    TimePoint now{seconds(100)};
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(1);
        std::vector<CrashSuspect> suspects{request(0)};
        for (int other = 1; other <= 300; ++other) {
            suspects.push_back(request(1000 * i + other));
        }
        recordCrash(crashes, server(i), suspects, now);
    }
    const auto startTime = Clock::now();
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{request(0)});
    // Far more than an evaluation of Options::maxSuspects takes, and far less than one of all 300,000.
    CHECK(Clock::now() - startTime < milliseconds(500));
}

/// The suspects that requests which differ in body or adapter have in common.
static const CrashSuspect SameBody(std::string(RequestBodySuspectPrefix) + "1");
static const CrashSuspect SamePath(std::string(RequestPathSuspectPrefix) + "1");

// Guards against a deadly request that is a new one each time, because its body or its adapter changes.
TEST_CASE("what requests have in common is convicted if they differ and crash more servers than one of them explains")
{
    for (const auto &common : {SameBody, SamePath}) {
        CrashAttribution crashes({});
        TimePoint now{seconds(100)};
        for (int i = 0; i < 5; ++i) {
            CHECK(crashes.takeConvicted(now).empty());
            now += milliseconds(300);
            recordCrash(crashes, server(i), {request(i), common}, now);
        }
        CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{common});
    }
}

// Guards against differing requests of which each one hides what they share, as it is sent to a second server.
TEST_CASE("what requests have in common is convicted if each of them crashes two servers in one attempt")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 6; ++i) {
        now += milliseconds(300);
        const std::map<CrashSuspect, TimePoint> sentTimes{{request(i / 2), now}, {SamePath, now}};
        const std::set<CrashSuspect> sentAgain
            = i % 2 == 1 ? std::set{request(i / 2), SamePath} : std::set<CrashSuspect>();
        crashes.recordCrash(server(i), now, sentTimes, now, sentAgain);
    }
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{SamePath});
}

// Guards against refusing all requests of a path for one of them.
TEST_CASE("what sound requests have in common with deadly ones that come again is not convicted")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    std::vector<CrashSuspect> convicted;
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(300);
        // Three deadly requests in turn, and at each server a sound one of the same path.
        recordCrash(crashes, server(i), {request(i % 3), SamePath}, now);
        recordCrash(crashes, server(i), {request(100 + i), SamePath}, now);
        const auto more = crashes.takeConvicted(now + milliseconds(60));
        convicted.insert(convicted.end(), more.begin(), more.end());
        if (convicted.size() == 3) {
            break;
        }
    }
    std::sort(convicted.begin(), convicted.end());
    CHECK(convicted == std::vector{request(0), request(1), request(2)});
}

// Guards against refusing a path whose sound requests are answered.
TEST_CASE("what requests have in common is not convicted while one of them is answered")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(300);
        recordCrash(crashes, server(i), {request(i), SamePath}, now);
        crashes.recordAnswered(SamePath, now + milliseconds(100));
        CHECK(crashes.takeConvicted(now + milliseconds(260)).empty());
    }
}

// Guards against two deadly requests that hide each other, as both are at each server that crashes.
TEST_CASE("requests that come together in all crashes are convicted together after two more")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 5; ++i) {
        CHECK(crashes.takeConvicted(now).empty());
        now += milliseconds(300);
        recordCrash(crashes, server(i), {request(0), request(1), request(10 + i)}, now, now - milliseconds(10));
    }
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{request(0), request(1)});
}

// Guards against a new leader that convicts a sound request before entries could tell that they saw it answered.
TEST_CASE("a new leader convicts by earlier crashes only once entries have had time to object")
{
    for (const bool answered : {false, true}) {
        CrashAttribution crashes({});
        TimePoint now{seconds(100)};
        for (int i = 0; i < 3; ++i) {
            now += milliseconds(300);
            recordCrash(crashes, server(i), {request(0)}, now);
        }
        now += seconds(2);
        crashes.beginDecisions(now + milliseconds(500));
        CHECK(crashes.takeConvicted(now).empty());
        CHECK(crashes.watched(now) == std::set{request(0)});
        // An entry that has kept the crashes reports them once more.
        recordCrash(crashes, server(0), {request(0)}, now - seconds(2));
        CHECK(crashes.takeConvicted(now + milliseconds(100)).empty());
        if (answered) {
            crashes.recordAnswered(request(0), now - seconds(1));
        }
        CHECK(crashes.takeConvicted(now + milliseconds(900)).empty() == answered);
    }
}

// Guards against a verdict that is proposed again and again, each time another one is applied, until it is in the log.
TEST_CASE("a suspect whose verdict is on its way to the log is not convicted once more")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(300);
        recordCrash(crashes, server(i), {request(0)}, now);
    }
    now += milliseconds(60);
    CHECK(crashes.takeConvicted(now) == std::vector{request(0)});
    // Another verdict is applied meanwhile.
    crashes.setVerdicts({request(9)}, {});
    CHECK(crashes.takeConvicted(now + milliseconds(20)).empty());
}
