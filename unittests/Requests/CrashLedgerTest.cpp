#include "tamarackcove/Requests/CrashLedger.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const TargetId First("e1");
static const TargetId Second("e2");
static constexpr CrashLedger::Fingerprint Poison = 1;
static constexpr CrashLedger::Fingerprint Innocent = 2;

static CrashLedger crashedOnce()
{
    CrashLedger ledger({});
    ledger.noteDispatched(Poison, First);
    ledger.noteDispatched(Innocent, First);
    const auto crash = ledger.noteCrash(First, Incarnation(1), Start);
    CHECK(crash.inFlight.size() == 2);
    CHECK(crash.blamed.empty());
    ledger.noteEnded(Poison, First);
    ledger.noteEnded(Innocent, First);
    return ledger;
}

TEST_CASE("suspects of one crash never share a target again, so that the next crash names one of them")
{
    auto ledger = crashedOnce();
    CHECK(ledger.mayDispatch(Poison, Second));
    ledger.noteDispatched(Poison, Second);
    CHECK_FALSE(ledger.mayDispatch(Innocent, Second));
    CHECK(ledger.mayDispatch(Innocent, First));
}

TEST_CASE("a request that is the only suspect of a second crash is blamed, one that merely ran beside it is not")
{
    auto ledger = crashedOnce();
    ledger.noteDispatched(Innocent, First);
    CHECK(ledger.noteCompleted(Innocent));
    ledger.noteEnded(Innocent, First);
    constexpr CrashLedger::Fingerprint Bystander = 3;
    ledger.noteDispatched(Poison, Second);
    ledger.noteDispatched(Bystander, Second);
    const auto crash = ledger.noteCrash(Second, Incarnation(1), Start + seconds(1));
    CHECK(crash.blamed == std::vector{Poison});
    CHECK(ledger.isBlamed(Poison, Start + seconds(1)));
    CHECK_FALSE(ledger.isBlamed(Bystander, Start + seconds(1)));
    CHECK_FALSE(ledger.isSuspect(Innocent));
}

TEST_CASE("one crash seen by many requests counts once")
{
    CrashLedger ledger({});
    ledger.noteDispatched(Poison, First);
    CHECK(ledger.noteCrash(First, Incarnation(1), Start).inFlight.size() == 1);
    CHECK(ledger.noteCrash(First, Incarnation(1), Start).inFlight.empty());
    CHECK_FALSE(ledger.isBlamed(Poison, Start));
}

TEST_CASE("the fingerprint tells adapters and bodies apart")
{
    const auto one = CrashLedger::fingerprint(AdapterRef("a", "1"), "body");
    CHECK(one == CrashLedger::fingerprint(AdapterRef("a", "1"), "body"));
    CHECK(one != CrashLedger::fingerprint(AdapterRef("a", "2"), "body"));
    CHECK(one != CrashLedger::fingerprint(AdapterRef("a", "1"), "other"));
}
