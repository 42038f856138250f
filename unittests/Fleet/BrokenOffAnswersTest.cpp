#include "tamarackcove/Fleet/CrashAttribution.h"

#include <algorithm>
#include <cstdint>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace tamarackcove;

static ServerIdentity server(std::uint64_t number, std::uint64_t start = 1)
{
    return {.id = TargetId("s" + std::to_string(number)), .startedAt = Incarnation(start)};
}

static const CrashSuspect Shared("shared");
static const CrashSuspect Deadly("deadly");

/// Records that a server has ended in the middle of its answer to a request with these suspects.
static void recordBrokenOff(CrashAttribution &crashes, std::uint64_t number, const std::vector<CrashSuspect> &suspects,
                            TimePoint now)
{
    std::map<CrashSuspect, TimePoint> sentTimes;
    for (const auto &suspect : suspects) {
        sentTimes.emplace(suspect, now - milliseconds(50));
    }
    crashes.recordCrash(server(number), now, sentTimes, now, {}, {suspects.begin(), suspects.end()});
}

// Guards against a deadly part or request that is taken as sound because servers begin to answer it before they end.
TEST_CASE("a suspect that servers end under in the middle of their answers is not cleared by answers that have begun")
{
    CrashSuspect deadly("deadly");
    std::uint64_t maxCrashes = 0;
    milliseconds maxTime{0};
    SUBCASE("a part, although answers to others that share it may be under way")
    {
        maxCrashes = 5;
        maxTime = seconds(2);
    }
    SUBCASE("a request")
    {
        deadly = CrashSuspect(std::string(RequestSuspectPrefix) + "1");
        maxCrashes = 3;
        maxTime = milliseconds(60);
    }
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (std::uint64_t i = 1; i <= maxCrashes; ++i) {
        CHECK(crashes.takeConvicted(now).empty());
        now += milliseconds(200);
        crashes.recordAnswered(deadly, now - milliseconds(10));
        crashes.recordAnswered(Shared, now - milliseconds(10));
        recordBrokenOff(crashes, i, {Shared, deadly}, now);
        crashes.recordAnswered(deadly, now + milliseconds(10));
        crashes.recordAnswered(Shared, now + milliseconds(20), AnswerProgress::Complete);
    }
    CHECK(crashes.watched(now + milliseconds(30)) == std::set{deadly});
    CHECK(crashes.takeConvicted(now + maxTime) == std::vector{deadly});
    CHECK(crashes.takeConvicted(now + seconds(5)).empty());
}

// Guards against a sound request that is refused because it needs more than its first event to be cleared, although no
// server has ended in the middle of it.
TEST_CASE("a suspect is cleared by an answer that has begun if no server has ended in the middle of one")
{
    CrashAttribution crashes({});
    TimePoint now{seconds(100)};
    for (std::uint64_t i = 1; i <= 6; ++i) {
        now += milliseconds(200);
        crashes.recordCrash(server(i), now, {{Shared, now}}, now);
        crashes.recordAnswered(Shared, now + milliseconds(30));
    }
    CHECK(crashes.takeConvicted(now + seconds(5)).empty());
}

// Guards against a report that is older than the last and takes back that a suspect was answered in full.
TEST_CASE("an older report of an answer changes nothing")
{
    CrashAttribution crashes({});
    const TimePoint now{seconds(100)};
    crashes.recordAnswered(Shared, now + seconds(1), AnswerProgress::Complete);
    crashes.recordAnswered(Shared, now, AnswerProgress::Complete);
    crashes.recordAnswered(Shared, now);
    for (std::uint64_t i = 1; i <= 6; ++i) {
        recordBrokenOff(crashes, i, {Shared}, now + milliseconds(100 * i));
    }
    CHECK(crashes.takeConvicted(now + seconds(5)).empty());
}

namespace {

/// Streams at servers, of which some end by themselves and some under the requests that hold the deadly part. The
/// attribution learns what entries would tell it.
class StreamLoad
{
public:
    explicit StreamLoad(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void step()
    {
        m_now += Step;
        for (int i = 0; i < RequestsPerStep; ++i) {
            begin();
        }
        if (draw(1000) < CrashesPerThousandSteps) {
            end(draw(Servers));
        }
        std::vector<std::uint64_t> ending;
        for (auto &stream : m_streams) {
            const auto age = m_now - stream.sentAt;
            if (!stream.begun && age >= FirstEvent) {
                stream.begun = true;
                record(stream, AnswerProgress::Begun);
            }
            if (stream.deadly && age >= FirstEvent + Step) {
                ending.push_back(stream.server);
            }
            if (age >= stream.duration) {
                stream.complete = true;
                record(stream, AnswerProgress::Complete);
            }
        }
        std::erase_if(m_streams, [](const Stream &stream) { return stream.complete; });
        for (const auto number : ending) {
            if (m_downUntil[number] <= m_now) {
                deadlyCrashes.push_back(m_now);
                end(number);
            }
        }
        for (const auto &suspect : m_crashes.takeConvicted(m_now)) {
            convicted.push_back(suspect);
        }
    }

    /// When servers have ended under the deadly part.
    std::vector<TimePoint> deadlyCrashes;
    std::vector<CrashSuspect> convicted;

private:
    struct Stream
    {
        std::uint64_t server = 0;
        std::vector<CrashSuspect> suspects;
        TimePoint sentAt;
        Duration duration{0};
        bool deadly = false;
        bool begun = false;
        bool complete = false;
    };
    static constexpr milliseconds Step{10};
    static constexpr milliseconds FirstEvent{60};
    static constexpr milliseconds DownTime{2000};
    static constexpr int RequestsPerStep = 2;
    static constexpr std::uint64_t Servers = 20;
    static constexpr std::uint64_t Groups = 10;
    static constexpr std::uint64_t CrashesPerThousandSteps = 20;
    static constexpr std::uint64_t DeadlyPerThousand = 10;

    std::uint64_t draw(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    void begin()
    {
        const auto number = draw(Servers);
        const bool deadly = draw(1000) < DeadlyPerThousand;
        const bool refused = deadly && std::find(convicted.begin(), convicted.end(), Deadly) != convicted.end();
        if (m_downUntil[number] > m_now || refused) {
            return;
        }
        std::vector suspects{Shared, CrashSuspect("group-" + std::to_string(draw(Groups))),
                             CrashSuspect("own-" + std::to_string(++m_requests))};
        if (deadly) {
            suspects.push_back(Deadly);
        }
        m_streams.push_back({.server = number,
                             .suspects = std::move(suspects),
                             .sentAt = m_now,
                             .duration = milliseconds(300 + draw(1200)),
                             .deadly = deadly});
    }

    void record(const Stream &stream, AnswerProgress progress)
    {
        for (const auto &suspect : stream.suspects) {
            m_crashes.recordAnswered(suspect, m_now, progress);
        }
    }

    void end(std::uint64_t number)
    {
        const auto crashed = server(number, ++m_starts[number]);
        m_downUntil[number] = m_now + DownTime;
        for (const auto &stream : m_streams) {
            if (stream.server != number) {
                continue;
            }
            std::map<CrashSuspect, TimePoint> sentTimes;
            std::set<CrashSuspect> begun;
            for (const auto &suspect : stream.suspects) {
                sentTimes.emplace(suspect, stream.sentAt);
                if (stream.begun) {
                    begun.insert(suspect);
                }
            }
            m_crashes.recordCrash(crashed, m_now, sentTimes, m_now, {}, begun);
        }
        std::erase_if(m_streams, [number](const Stream &stream) { return stream.server == number; });
    }

    std::mt19937_64 m_random;
    TimePoint m_now{seconds(100)};
    CrashAttribution m_crashes{{}};
    std::vector<Stream> m_streams;
    std::map<std::uint64_t, TimePoint> m_downUntil;
    std::map<std::uint64_t, std::uint64_t> m_starts;
    std::uint64_t m_requests = 0;
};

} // namespace

// Guards against sound streams that are refused because servers end in the middle of them, by themselves or under a
// part that they do not have, and against a deadly part that is not found among them.
TEST_CASE("of streams that servers break off, only those with the deadly part are refused")
{
    constexpr seconds ContactTime{3};
    constexpr int MaxLateCrashes = 3;
    constexpr std::uint64_t Seeds = 10;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        CAPTURE(seed);
        StreamLoad load(seed);
        for (int i = 0; i < 1500; ++i) {
            load.step();
        }
        CHECK(load.convicted == std::vector{Deadly});
        const auto &crashes = load.deadlyCrashes;
        REQUIRE(crashes.size() >= 3);
        CHECK(std::count_if(crashes.begin(), crashes.end(), [&](auto at) { return at > crashes[2] + ContactTime; })
              <= MaxLateCrashes);
    }
}
