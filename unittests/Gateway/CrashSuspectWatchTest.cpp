#include "tamarackcove/Gateway/CrashSuspectWatch.h"

#include "tamarackcove/Wire/FleetMessages.h"

#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace tamarackcove;

static const CrashSuspect Request("request:1");
static const CrashSuspect Other("request:2");

static ServerIdentity server(std::uint64_t number)
{
    return {.id = TargetId("s" + std::to_string(number)), .startedAt = Incarnation(number)};
}

/// The next report to a leader that has got the crashes up to `reported`; all of them if it is new.
static FleetReportMessage reportOf(CrashSuspectWatch &watch, bool toNewLeader, TimePoint now, std::uint64_t &reported)
{
    FleetReportMessage report;
    reported = watch.addCrashes(report, toNewLeader ? 0 : reported, now);
    watch.addAnswered(report, toNewLeader, now);
    return report;
}

// Guards against a leader that begins with no evidence, so that each change of leader costs three more servers.
TEST_CASE("a new leader is told of all crashes that still count, with their times, and the same leader once")
{
    CrashSuspectWatch watch;
    const TimePoint start{seconds(100)};
    watch.recordCrash(server(1), {Request}, start - milliseconds(40), start);
    std::uint64_t reported = 0;
    const auto first = reportOf(watch, false, start + milliseconds(10), reported);
    REQUIRE(first.crashes.size() == 1);
    CHECK(first.crashes.front().agoMs == 10);
    CHECK(first.crashes.front().suspects.front().agoMs == 50);
    CHECK(reportOf(watch, false, start + seconds(1), reported).crashes.empty());
    const auto again = reportOf(watch, true, start + seconds(2), reported);
    REQUIRE(again.crashes.size() == 1);
    CHECK(again.crashes.front().agoMs == 2000);
    CHECK(reportOf(watch, true, start + CrashSuspectWatch::EvidenceLifetime, reported).crashes.empty());
}

// Guards against a new leader that convicts a sound request since it knows of the crashes and not of the answers.
TEST_CASE("a new leader is told when the suspects of the crashes were answered")
{
    CrashSuspectWatch watch;
    const TimePoint start{seconds(100)};
    watch.recordCrash(server(1), {Request, Other}, start, start);
    watch.recordAnswered(server(2), {Other}, start + seconds(1));
    std::uint64_t reported = 0;
    const auto report = reportOf(watch, true, start + seconds(11), reported);
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
    std::uint64_t reported = 0;
    const auto report = reportOf(watch, true, now, reported);
    CHECK(report.crashes.size() == CrashSuspectWatch::MaxCrashes);
    CHECK(report.crashes.back().server == "s999");
    for (const auto &crash : report.crashes) {
        CHECK(crash.suspects.size() == CrashSuspectWatch::MaxSuspectsPerCrash);
    }
}

static const Endpoint Address{.host = "127.0.0.1", .port = 80};

// Guards against reports that grow with all that a crash has met so far, each time something is added.
TEST_CASE("a report holds only what a crash has met since the report before")
{
    CrashSuspectWatch watch;
    const TimePoint start{seconds(100)};
    std::uint64_t reported = 0;
    watch.recordCrash(server(1), {Request}, start, start);
    CHECK(reportOf(watch, false, start, reported).crashes.front().suspects.size() == 1);
    watch.recordCrash(server(1), {Other}, start, start + milliseconds(5));
    const auto second = reportOf(watch, false, start + milliseconds(5), reported);
    REQUIRE(second.crashes.size() == 1);
    REQUIRE(second.crashes.front().suspects.size() == 1);
    CHECK(second.crashes.front().suspects.front().suspect == Other.value());
    CHECK(second.crashes.front().agoMs == 5);
}

// Guards against evidence that is lost with an entry and the leader, if only the leader was told.
TEST_CASE("each control host is told of all crashes, whatever the others were told")
{
    CrashSuspectWatch watch;
    const TimePoint start{seconds(100)};
    std::uint64_t reportedToLeader = 0;
    std::uint64_t reportedToFollower = 0;
    watch.recordCrash(server(1), {Request}, start, start);
    CHECK(reportOf(watch, false, start, reportedToLeader).crashes.size() == 1);
    CHECK(reportOf(watch, false, start, reportedToFollower).crashes.size() == 1);
    CHECK(reportOf(watch, false, start, reportedToFollower).crashes.empty());
}

// Guards against a silent server that is unknown to the leader, against one that is only slow, and against reports of
// each caller that leaves.
TEST_CASE("a server that does not answer is reported as silent once it has ended, unless it answers another request")
{
    CrashSuspectWatch watch;
    const TimePoint start{seconds(100)};
    std::uint64_t reported = 0;
    watch.recordAnswered(server(1), {Other}, start);
    watch.recordSilence(server(1), Address, {Request}, start + milliseconds(10), start + milliseconds(300));
    CHECK(reportOf(watch, false, start + milliseconds(305), reported).crashes.empty());
    int news = 0;
    watch.onNews = [&news] {
        ++news;
    };
    watch.setSilentServers({"s2"});
    CHECK(news == 0);
    watch.setSilentServers({"s1"});
    CHECK(news == 1);
    const auto report = reportOf(watch, false, start + milliseconds(310), reported);
    REQUIRE(report.crashes.size() == 1);
    const auto &crash = report.crashes.front();
    CHECK(crash.silent);
    CHECK_FALSE(crash.closed);
    CHECK(crash.endpoint == Address.toString());
    CHECK(crash.firstSentAgoMs == 300);
    CHECK(crash.lastHeardAgoMs == 310);
    watch.recordAnswered(server(1), {Other}, start + milliseconds(400));
    CHECK(reportOf(watch, true, start + milliseconds(410), reported).crashes.empty());
}

// Guards against an entry without a leader that sends a deadly request on, and against one that decides for good what
// the leader decides.
TEST_CASE("an entry without a leader quarantines by its own crashes until the leader decides")
{
    CrashSuspectWatch watch;
    TimePoint now{seconds(100)};
    const std::vector suspects{Request};
    for (std::uint64_t i = 1; i <= 3; ++i) {
        now += milliseconds(100);
        watch.recordCrash(server(i), suspects, now - milliseconds(10), now);
        watch.decideWithoutLeader(true, now);
        CHECK(watch.findQuarantined(suspects) == nullptr);
    }
    watch.decideWithoutLeader(false, now + milliseconds(20));
    CHECK(watch.findQuarantined(suspects) != nullptr);
    watch.decideWithoutLeader(true, now + seconds(1));
    CHECK(watch.findQuarantined(suspects) != nullptr);
    watch.decideWithoutLeader(true, now + seconds(1) + CrashSuspectWatch::LeaderDecisionTime + seconds(1));
    CHECK(watch.findQuarantined(suspects) == nullptr);
}

// Guards against an entry without a leader that refuses a sound request because servers are slow.
TEST_CASE("an entry without a leader takes a silent server as crashed only if it seems to have ended")
{
    CrashSuspectWatch watch;
    bool ended = false;
    watch.hasEnded = [&ended](const ServerIdentity &, const Endpoint &, TimePoint) {
        return ended;
    };
    TimePoint now{seconds(100)};
    const std::vector suspects{Request};
    for (std::uint64_t i = 1; i <= 3; ++i) {
        now += milliseconds(500);
        watch.recordSilence(server(i), Address, suspects, now - milliseconds(300), now);
    }
    watch.decideWithoutLeader(false, now + milliseconds(20));
    CHECK(watch.findQuarantined(suspects) == nullptr);
    ended = true;
    watch.decideWithoutLeader(false, now + milliseconds(40));
    CHECK(watch.findQuarantined(suspects) != nullptr);
}

// Guards against a silent server whose requests the leader never learns of, as another start has taken its place.
TEST_CASE("a server that has not answered is reported as silent once it is gone")
{
    CrashSuspectWatch watch;
    const TimePoint now{seconds(100)};
    bool gone = false;
    watch.isGone = [&gone](const ServerIdentity &) {
        return gone;
    };
    std::uint64_t reported = 0;
    watch.recordSilence(server(1), Address, {Request}, now, now);
    watch.noteEndedServers();
    CHECK(reportOf(watch, false, now, reported).crashes.empty());
    gone = true;
    watch.noteEndedServers();
    CHECK(reportOf(watch, false, now, reported).crashes.size() == 1);
    // What is recorded later is reported as well.
    watch.recordSilence(server(1), Address, {Other}, now, now);
    const auto later = reportOf(watch, false, now, reported);
    REQUIRE(later.crashes.size() == 1);
    CHECK(later.crashes.front().suspects.front().suspect == Other.value());
}

// Guards against evidence of silence that is lost when a connection of the server is closed later.
TEST_CASE("what a server has not answered is reported with the first connection that it closes")
{
    CrashSuspectWatch watch;
    const TimePoint now{seconds(100)};
    std::uint64_t reported = 0;
    watch.recordSilence(server(1), Address, {Request}, now, now);
    CHECK(reportOf(watch, false, now, reported).crashes.empty());
    watch.recordCrash(server(1), {Other}, now, now);
    const auto report = reportOf(watch, false, now, reported);
    REQUIRE(report.crashes.size() == 1);
    CHECK(report.crashes.front().closed);
    CHECK(report.crashes.front().silent);
    CHECK(report.crashes.front().suspects.size() == 2);
}

// Guards against a deadly request whose evidence waits behind that of sound ones.
TEST_CASE("the newest crashes are reported if there are more than a report may hold")
{
    CrashSuspectWatch watch;
    const TimePoint now{seconds(100)};
    for (std::uint64_t i = 1; i <= 10; ++i) {
        watch.recordCrash(server(i), {CrashSuspect("request:" + std::to_string(i)), Other}, now, now);
    }
    FleetReportMessage report;
    const auto reported = watch.addCrashes(report, 0, now, 6);
    REQUIRE(report.crashes.size() == 2);
    CHECK(report.crashes.front().server == "s9");
    CHECK(report.crashes.back().server == "s10");
    CHECK(report.crashes.back().suspects.size() == 2);
    FleetReportMessage next;
    watch.addCrashes(next, reported, now, 6);
    CHECK(next.crashes.empty());
}

// Guards against suspects that are answered all the time and keep the objections to others back.
TEST_CASE("answered suspects are reported in turn if there are more than a report may hold")
{
    CrashSuspectWatch watch;
    TimePoint now{seconds(100)};
    const std::vector<std::string> names{"a", "b", "c", "d"};
    watch.setLists(names, {}, now);
    std::set<std::string> reported;
    for (int i = 0; i < 2; ++i) {
        now += CrashSuspectWatch::AnswerInterval;
        for (const auto &name : names) {
            watch.recordAnswered(server(1), {CrashSuspect(name)}, now);
        }
        FleetReportMessage report;
        watch.addAnswered(report, false, now, 2);
        CHECK(report.answeredSuspects.size() == 2);
        for (const auto &answered : report.answeredSuspects) {
            reported.insert(answered.suspect);
        }
    }
    CHECK(reported.size() == names.size());
}

// Guards against a leader that takes a suspect as cleared, or as never answered, because an entry does not say how far
// its answers have got.
TEST_CASE("a report says which answers were complete, and which crashes came in the middle of one")
{
    CrashSuspectWatch watch;
    const TimePoint start{seconds(100)};
    watch.setLists({Request.value()}, {}, start);
    watch.recordCrash(server(1), {Request}, start, start, false, true);
    watch.recordAnswered(server(2), {Request}, start + milliseconds(10), AnswerProgress::Begun);
    std::uint64_t reported = 0;
    const auto first = reportOf(watch, false, start + milliseconds(20), reported);
    REQUIRE(first.crashes.size() == 1);
    CHECK(first.crashes.front().suspects.front().begun);
    REQUIRE(first.answeredSuspects.size() == 1);
    CHECK(first.answeredSuspects.front().completeAgoMs == -1);
    // Soon after the answer that has begun.
    watch.recordAnswered(server(2), {Request}, start + milliseconds(30), AnswerProgress::Complete);
    const auto second = reportOf(watch, false, start + milliseconds(40), reported);
    REQUIRE(second.answeredSuspects.size() == 1);
    CHECK(second.answeredSuspects.front().completeAgoMs == 10);
}
