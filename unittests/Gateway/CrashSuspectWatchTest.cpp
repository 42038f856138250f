#include "tamarackcove/Gateway/CrashSuspectWatch.h"

#include "tamarackcove/Wire/FleetMessages.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const CrashSuspect Request("request:1");
static const CrashSuspect Other("request:2");

static ServerIdentity server(std::uint64_t number)
{
    return {.id = TargetId("s" + std::to_string(number)), .startedAt = Incarnation(number)};
}

static FleetReportMessage reportOf(CrashSuspectWatch &watch, bool toNewLeader, TimePoint now)
{
    FleetReportMessage report;
    watch.addTo(report, toNewLeader, now);
    return report;
}

// Guards against a leader that begins with no evidence, so that each change of leader costs three more servers.
TEST_CASE("a new leader is told of all crashes that still count, with their times, and the same leader once")
{
    CrashSuspectWatch watch;
    const TimePoint start{seconds(100)};
    watch.recordCrash(server(1), {Request}, start - milliseconds(40), start);
    const auto first = reportOf(watch, false, start + milliseconds(10));
    REQUIRE(first.crashes.size() == 1);
    CHECK(first.crashes.front().agoMs == 10);
    CHECK(first.crashes.front().suspects.front().agoMs == 50);
    CHECK(reportOf(watch, false, start + seconds(1)).crashes.empty());
    const auto again = reportOf(watch, true, start + seconds(2));
    REQUIRE(again.crashes.size() == 1);
    CHECK(again.crashes.front().agoMs == 2000);
    CHECK(reportOf(watch, true, start + CrashSuspectWatch::EvidenceLifetime).crashes.empty());
}

// Guards against a new leader that convicts a sound request since it knows of the crashes and not of the answers.
TEST_CASE("a new leader is told when the suspects of the crashes were answered")
{
    CrashSuspectWatch watch;
    const TimePoint start{seconds(100)};
    watch.recordCrash(server(1), {Request, Other}, start, start);
    watch.recordAnswered({Other}, start + seconds(1));
    const auto report = reportOf(watch, true, start + seconds(11));
    REQUIRE(report.answeredSuspects.size() == 1);
    CHECK(report.answeredSuspects.front().suspect == Other.value());
    CHECK(report.answeredSuspects.front().agoMs == 10000);
}

// Guards against an entry whose memory grows with each crash, or with each request that is answered.
TEST_CASE("the evidence of an entry is bounded, and the newest is kept")
{
    CrashSuspectWatch watch;
    TimePoint now{seconds(100)};
    for (std::uint64_t i = 0; i < 1000; ++i) {
        for (int request = 0; request < 300; ++request) {
            watch.recordCrash(server(i), {CrashSuspect("request:" + std::to_string(request))}, now, now);
        }
    }
    const auto report = reportOf(watch, true, now);
    CHECK(report.crashes.size() == CrashSuspectWatch::MaxCrashes);
    CHECK(report.crashes.back().server == "s999");
    for (const auto &crash : report.crashes) {
        CHECK(crash.suspects.size() == CrashSuspectWatch::MaxSuspectsPerCrash);
    }
}
