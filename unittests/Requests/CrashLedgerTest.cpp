#include "tamarackcove/Requests/CrashLedger.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const TargetId FirstTarget("e1");
static const TargetId SecondTarget("e2");
static constexpr CrashLedger::Fingerprint CrashingRequest = 1;
static constexpr CrashLedger::Fingerprint HarmlessRequest = 2;

static CrashLedger crashedOnce()
{
    CrashLedger ledger({});
    ledger.noteDispatched(CrashingRequest, FirstTarget);
    ledger.noteDispatched(HarmlessRequest, FirstTarget);
    const auto crash = ledger.noteCrash(FirstTarget, Incarnation(1), Start);
    CHECK(crash.inFlight.size() == 2);
    CHECK(crash.blamed.empty());
    ledger.noteEnded(CrashingRequest, FirstTarget);
    ledger.noteEnded(HarmlessRequest, FirstTarget);
    return ledger;
}

TEST_CASE("two suspects are never in flight on the same target, so that the next crash identifies one of them")
{
    auto ledger = crashedOnce();
    CHECK(ledger.mayDispatch(CrashingRequest, SecondTarget));
    ledger.noteDispatched(CrashingRequest, SecondTarget);
    CHECK_FALSE(ledger.mayDispatch(HarmlessRequest, SecondTarget));
    CHECK(ledger.mayDispatch(HarmlessRequest, FirstTarget));
}

TEST_CASE(
    "the only suspect in flight in a second crash is blamed, a request that was in flight for the first time is not")
{
    auto ledger = crashedOnce();
    ledger.noteDispatched(HarmlessRequest, FirstTarget);
    CHECK(ledger.noteCompleted(HarmlessRequest));
    ledger.noteEnded(HarmlessRequest, FirstTarget);
    constexpr CrashLedger::Fingerprint ConcurrentRequest = 3;
    ledger.noteDispatched(CrashingRequest, SecondTarget);
    ledger.noteDispatched(ConcurrentRequest, SecondTarget);
    const auto crash = ledger.noteCrash(SecondTarget, Incarnation(1), Start + seconds(1));
    CHECK(crash.blamed == std::vector{CrashingRequest});
    CHECK(ledger.isBlamed(CrashingRequest, Start + seconds(1)));
    CHECK_FALSE(ledger.isBlamed(ConcurrentRequest, Start + seconds(1)));
    CHECK_FALSE(ledger.isSuspect(HarmlessRequest));
}

TEST_CASE("a crash that several requests report counts once")
{
    CrashLedger ledger({});
    ledger.noteDispatched(CrashingRequest, FirstTarget);
    CHECK(ledger.noteCrash(FirstTarget, Incarnation(1), Start).inFlight.size() == 1);
    CHECK(ledger.noteCrash(FirstTarget, Incarnation(1), Start).inFlight.empty());
    CHECK_FALSE(ledger.isBlamed(CrashingRequest, Start));
}

TEST_CASE("the fingerprint differs between adapter versions and between bodies")
{
    const auto one = CrashLedger::fingerprint(AdapterRef("a", "1"), "body");
    CHECK(one == CrashLedger::fingerprint(AdapterRef("a", "1"), "body"));
    CHECK(one != CrashLedger::fingerprint(AdapterRef("a", "2"), "body"));
    CHECK(one != CrashLedger::fingerprint(AdapterRef("a", "1"), "other"));
}

// Guards against a further crash through another entry while the control group, whose disks may be slow, has not yet
// decided on the quarantine of the request.
TEST_CASE("a request that is a suspect of another crash is blamed for a crash that another entry reports")
{
    auto ledger = crashedOnce();
    constexpr CrashLedger::Fingerprint ConcurrentRequest = 3;
    CHECK(ledger.noteReportedCrash(SecondTarget, Incarnation(1), {ConcurrentRequest, CrashingRequest}, Start)
          == CrashingRequest);
    CHECK(ledger.isBlamed(CrashingRequest, Start));
    CHECK_FALSE(ledger.isBlamed(ConcurrentRequest, Start));
    CHECK(ledger.isSuspect(ConcurrentRequest));
}

// Guards against blame for requests that two entries had in flight on the same crashed target.
TEST_CASE("the report of a crash that this entry has seen itself blames no request")
{
    auto ledger = crashedOnce();
    CHECK_FALSE(
        ledger.noteReportedCrash(FirstTarget, Incarnation(1), {CrashingRequest, HarmlessRequest}, Start).has_value());
    // The target has restarted and crashed again with both suspects, so that neither can be told from the other.
    CHECK_FALSE(
        ledger.noteReportedCrash(FirstTarget, Incarnation(2), {CrashingRequest, HarmlessRequest}, Start).has_value());
    CHECK_FALSE(ledger.isBlamed(CrashingRequest, Start));
    CHECK(ledger.noteReportedCrash(FirstTarget, Incarnation(3), {CrashingRequest}, Start) == CrashingRequest);
}
