#include "tamarackcove/Fleet/CrashAttribution.h"

#include <cstdint>
#include <doctest/doctest.h>
#include <set>
#include <string>
#include <vector>

using namespace tamarackcove;

static ServerIdentity server(std::uint64_t number)
{
    return {.id = TargetId("s" + std::to_string(number)), .startedAt = Incarnation(number)};
}

/// The suspect that a whole request is.
static CrashSuspect request(int number)
{
    return CrashSuspect(std::string(RequestSuspectPrefix) + std::to_string(number));
}

static const Endpoint Address{.host = "127.0.0.1", .port = 80};

/// Records that a server left requests with these suspects without an answer, of which the first was sent at `sentAt`,
/// and was last heard of at `heardAt`.
static void recordSilence(CrashAttribution &crashes, const ServerIdentity &server,
                          const std::vector<CrashSuspect> &suspects, TimePoint sentAt, TimePoint heardAt, TimePoint now)
{
    CrashAttribution::Silence silence{
        .endpoint = Address, .firstSentAt = sentAt, .lastHeardAt = heardAt, .sentTimes = {}};
    for (const auto &suspect : suspects) {
        silence.sentTimes.emplace(suspect, sentAt);
    }
    crashes.recordSilence(server, silence, now);
}

// Guards against a request that stays unknown because the servers that it crashes close no connection.
TEST_CASE("a request under which servers fall silent is convicted once they have ended")
{
    std::set<ServerIdentity> ended;
    CrashAttribution crashes({.hasEnded = [&ended](const ServerIdentity &server, const Endpoint &, TimePoint) {
        return ended.contains(server);
    }});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(400);
        recordSilence(crashes, server(i), {request(0), request(10 + i)}, now - milliseconds(300),
                      now - milliseconds(300), now);
    }
    CHECK(crashes.takeConvicted(now + seconds(1)).empty());
    CHECK(crashes.nextDecisionAt(now + seconds(1)).has_value());
    now += seconds(2);
    for (int i = 0; i < 3; ++i) {
        ended.insert(server(i));
    }
    // Entries have had no time to object yet.
    CHECK(crashes.takeConvicted(now).empty());
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{request(0)});
}

// Guards against refusing a sound request that is sent again and again while its servers are slow, or cut off.
TEST_CASE("a request that live servers do not answer is not convicted")
{
    CrashAttribution crashes({.hasEnded = [](const ServerIdentity &, const Endpoint &, TimePoint) {
        return false;
    }});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(400);
        recordSilence(crashes, server(i), {request(0)}, now - milliseconds(300), now - milliseconds(10), now);
    }
    CHECK(crashes.takeConvicted(now + seconds(5)).empty());
}

// Guards against refusing a sound request that was sent to servers that had already fallen silent.
TEST_CASE("a request that was sent after servers have fallen silent together is not convicted")
{
    CrashAttribution crashes({.hasEnded = [](const ServerIdentity &, const Endpoint &, TimePoint) {
        return true;
    }});
    const TimePoint now{seconds(100)};
    for (int i = 0; i < 4; ++i) {
        // Other requests were at the server when it fell silent; this one came later, one attempt after the other.
        recordSilence(crashes, server(i), {request(10 + i)}, now - milliseconds(20), now, now + seconds(1));
        recordSilence(crashes, server(i), {request(0)}, now + milliseconds(300 * (i + 1)), now, now + seconds(2));
    }
    CHECK(crashes.takeConvicted(now + seconds(3)).empty());
    CHECK(crashes.takeConvicted(now + seconds(4)).empty());
}

// Guards against evidence of silence, of which there is much under overload, that displaces crashes.
TEST_CASE("under a flood of unanswered requests the crashes are kept")
{
    CrashAttribution crashes({.hasEnded = [](const ServerIdentity &, const Endpoint &, TimePoint) {
        return false;
    }});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(100);
        crashes.recordCrash(server(i), now, {{request(0), now}}, now);
    }
    for (int i = 0; i < 1000; ++i) {
        std::vector<CrashSuspect> suspects;
        for (int other = 1; other <= 100; ++other) {
            suspects.push_back(request(1000 * i + other));
        }
        recordSilence(crashes, server(100 + i), suspects, now, now, now);
    }
    CHECK(crashes.takeConvicted(now + milliseconds(60)) == std::vector{request(0)});
}

// Guards against evidence that is lost because the request was sent to the silent server once more, after it had ended.
TEST_CASE("a request that a silent server got before it ended, and once more after that, is convicted")
{
    CrashAttribution crashes({.hasEnded = [](const ServerIdentity &, const Endpoint &, TimePoint) {
        return true;
    }});
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(400);
        recordSilence(crashes, server(i), {request(0)}, now, now, now);
        recordSilence(crashes, server(i), {request(0)}, now + milliseconds(300), now, now);
    }
    CHECK(crashes.takeConvicted(now + seconds(1)).empty());
    CHECK(crashes.takeConvicted(now + seconds(1) + milliseconds(60)) == std::vector{request(0)});
}
