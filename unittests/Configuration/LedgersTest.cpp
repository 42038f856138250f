#include "tamarackcove/Configuration/CallLedger.h"
#include "tamarackcove/Configuration/QuarantineLedger.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const LeaderTime Start{std::chrono::hours(1000)};
static const EntryId FirstEntry("e1");
static const EntryId SecondEntry("e2");

TEST_CASE("a repeated reservation is granted only to the same attempt of the same entry")
{
    CallLedger ledger;
    CHECK(ledger.reserve(Start, "k", 1, FirstEntry, RequestId("a")).decision == CallDecision::Granted);
    CHECK(ledger.reserve(Start, "k", 1, FirstEntry, RequestId("a")).decision == CallDecision::Granted);
    CHECK(ledger.reserve(Start, "k", 1, FirstEntry, RequestId("b")).decision == CallDecision::InDoubt);
    CHECK(ledger.reserve(Start, "k", 1, SecondEntry, RequestId("a")).decision == CallDecision::InDoubt);
    CHECK(ledger.reserve(Start, "k", 2, FirstEntry, RequestId("a")).decision == CallDecision::KeyReused);
    CHECK_FALSE(ledger.complete("k", SecondEntry, 200, "", "stolen"));
    CHECK(ledger.complete("k", FirstEntry, 200, "text/plain", "body"));
    CHECK_FALSE(ledger.complete("k", FirstEntry, 500, "", "later"));
    const auto resent = ledger.reserve(Start, "k", 1, FirstEntry, RequestId("a"));
    CHECK(resent.decision == CallDecision::Completed);
    CHECK(resent.body == "body");
}

TEST_CASE("a released key can be reserved again, and a completed key cannot be released")
{
    CallLedger ledger;
    (void)ledger.reserve(Start, "k", 1, FirstEntry, RequestId("a"));
    CHECK_FALSE(ledger.release("k", SecondEntry));
    CHECK(ledger.release("k", FirstEntry));
    CHECK(ledger.reserve(Start, "k", 1, SecondEntry, RequestId("b")).decision == CallDecision::Granted);
    CHECK(ledger.complete("k", SecondEntry, 200, "", ""));
    CHECK_FALSE(ledger.release("k", SecondEntry));
}

TEST_CASE("answers beyond the size limits are dropped, and their calls are still not granted again")
{
    CallLedger ledger({.maxAnswerBytes = 10, .maxTotalAnswerBytes = 25, .maxRecords = 4});
    for (const auto *key : {"1", "2", "3", "4"}) {
        CHECK(ledger.reserve(Start, key, 1, FirstEntry, RequestId(key)).decision == CallDecision::Granted);
    }
    CHECK(ledger.reserve(Start, "5", 1, FirstEntry, RequestId("5")).decision == CallDecision::Full);
    CHECK(ledger.complete("4", FirstEntry, 200, "", std::string(11, 'x')));
    for (const auto *key : {"1", "2", "3"}) {
        CHECK(ledger.complete(key, FirstEntry, 200, "", std::string(10, 'x')));
    }
    CHECK(ledger.reserve(Start, "1", 1, FirstEntry, RequestId("1")).decision == CallDecision::InDoubt);
    CHECK(ledger.reserve(Start, "2", 1, FirstEntry, RequestId("2")).decision == CallDecision::Completed);
    CHECK(ledger.reserve(Start, "4", 1, FirstEntry, RequestId("4")).decision == CallDecision::InDoubt);
    CHECK(ledger.contents().answerBytes == 20);
}

TEST_CASE("a key that is released and reserved again is kept for 24 hours from the second reservation")
{
    using std::chrono::hours;
    CallLedger ledger;
    (void)ledger.reserve(Start, "k", 1, FirstEntry, RequestId("a"));
    (void)ledger.reserve(Start + hours(1), "other", 1, FirstEntry, RequestId("o"));
    CHECK(ledger.release("k", FirstEntry));
    (void)ledger.reserve(Start + hours(20), "k", 1, FirstEntry, RequestId("b"));
    ledger.expire(Start + hours(26));
    CHECK(ledger.contents().records.contains("k"));
    CHECK_FALSE(ledger.contents().records.contains("other"));
    ledger.expire(Start + hours(44));
    CHECK(ledger.contents().records.empty());
    CHECK(ledger.contents().reservationOrder.empty());
}

namespace {

QuarantineChange crash(QuarantineLedger &ledger, const char *target, std::vector<std::uint64_t> fingerprints)
{
    return ledger.reportCrash(Start, {TargetId(target), Incarnation(1)}, fingerprints);
}

} // namespace

TEST_CASE("a request in flight in two crashes is quarantined, and the other requests in flight are not")
{
    QuarantineLedger ledger;
    CHECK(crash(ledger, "t1", {1, 2, 3}).quarantined.empty());
    ledger.clearSuspect(2);
    CHECK(crash(ledger, "t2", {1, 2, 9}).quarantined == std::vector<std::uint64_t>{1});
    ledger.clearSuspect(9);
    CHECK(crash(ledger, "t3", {9, 10}).quarantined.empty());
}

TEST_CASE("reports of the same crash by several entries count as one crash")
{
    QuarantineLedger ledger;
    CHECK(crash(ledger, "t1", {1}).quarantined.empty());
    CHECK(crash(ledger, "t1", {1}).quarantined.empty());
    CHECK(crash(ledger, "t1", {2}).quarantined.empty());
}

TEST_CASE("two earlier suspects in one crash are not quarantined, even if the second is reported later")
{
    QuarantineLedger ledger;
    crash(ledger, "t1", {1, 2});
    CHECK(crash(ledger, "t2", {1}).quarantined == std::vector<std::uint64_t>{1});
    const auto change = crash(ledger, "t2", {2});
    CHECK(change.quarantined.empty());
    CHECK(change.released == std::vector<std::uint64_t>{1});
    CHECK(ledger.contents().quarantined.empty());
    CHECK(crash(ledger, "t3", {2}).quarantined == std::vector<std::uint64_t>{2});
}

TEST_CASE("a full quarantine releases its oldest fingerprint")
{
    QuarantineLedger ledger({.maxQuarantined = 2});
    for (std::uint64_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
        crash(ledger, ("a" + std::to_string(fingerprint)).c_str(), {fingerprint});
        const auto change = crash(ledger, ("b" + std::to_string(fingerprint)).c_str(), {fingerprint});
        CHECK(change.quarantined == std::vector<std::uint64_t>{fingerprint});
        CHECK(change.released.empty() == (fingerprint < 3));
    }
    CHECK(ledger.contents().quarantined.size() == 2);
}
