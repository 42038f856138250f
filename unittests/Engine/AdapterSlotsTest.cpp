#include "tamarackcove/Engine/AdapterSlots.h"
#include "tamarackcove/Engine/LoadReportHistory.h"
#include "tamarackcove/Engine/PrefixCache.h"
#include "tamarackcove/Engine/TokenFunction.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("orders with a stale fencing number are refused, or counted and obeyed if the engine does not check fencing")
{
    AdapterSlots strict(2, true);
    CHECK(strict.load("a@1", FencingNumber(5)) == LoadDecision::Fetch);
    CHECK(strict.load("b@1", FencingNumber(4)) == LoadDecision::StaleFencing);
    CHECK(strict.unload("a@1", FencingNumber(4)) == UnloadDecision::StaleFencing);
    AdapterSlots lax(2, false);
    CHECK(lax.load("a@1", FencingNumber(5)) == LoadDecision::Fetch);
    CHECK(lax.load("b@1", FencingNumber(4)) == LoadDecision::Fetch);
    CHECK(lax.staleOrders() == 1);
    CHECK(lax.highestFencingNumber() == FencingNumber(5));
}

TEST_CASE("a loading adapter occupies a slot, and a failed load frees the slot")
{
    AdapterSlots slots(1, true);
    CHECK(slots.load("a@1", {}) == LoadDecision::Fetch);
    CHECK(slots.load("a@1", {}) == LoadDecision::AlreadyLoading);
    CHECK(slots.load("b@1", {}) == LoadDecision::NoFreeSlot);
    CHECK_FALSE(slots.isResident("a@1"));
    CHECK(slots.unload("a@1", {}) == UnloadDecision::StillLoading);
    slots.finishLoad("a@1", false);
    CHECK(slots.load("b@1", {}) == LoadDecision::Fetch);
    slots.finishLoad("b@1", true);
    CHECK(slots.load("b@1", {}) == LoadDecision::AlreadyResident);
    CHECK(slots.residentAdapters() == std::vector<std::string>{"b@1"});
}

TEST_CASE("an unload of an adapter with running requests is counted")
{
    AdapterSlots slots(1, true);
    CHECK(slots.load("a@1", {}) == LoadDecision::Fetch);
    slots.finishLoad("a@1", true);
    slots.beginRequest("a@1");
    CHECK(slots.unload("a@1", {}) == UnloadDecision::UnloadedInUse);
    CHECK(slots.unloadsInUse() == 1);
}

TEST_CASE("a token encodes its adapter, prompt and offset, and malformed tokens are not parsed")
{
    const TokenFunction function("a@1", "hello");
    CHECK(TokenFunction::parse(function.token(17).substr(0, function.token(17).size() - 1)) == function.parts(17));
    CHECK(function.parts(0).adapterHash != TokenFunction("a@2", "hello").parts(0).adapterHash);
    CHECK(function.parts(0).promptHash != TokenFunction("a@1", "hello2").parts(0).promptHash);
    CHECK_FALSE(TokenFunction::parse("da1efa.c063b5.").has_value());
    CHECK_FALSE(TokenFunction::parse("error").has_value());
}

TEST_CASE("the report for a lag is the newest one at least that old, or the oldest one kept")
{
    LoadReportHistory reports;
    const TimePoint start(seconds(100));
    reports.record(start, {.running = 1, .waiting = 0, .adapters = {}});
    reports.record(start + seconds(1), {.running = 2, .waiting = 0, .adapters = {}});
    CHECK(reports.at(start + seconds(1), seconds(0)).running == 2);
    CHECK(reports.at(start + seconds(1), milliseconds(500)).running == 1);
    CHECK(reports.at(start + seconds(1), seconds(30)).running == 1);
}

TEST_CASE("a prompt is cached for its adapter only, and the least recently used blocks are evicted")
{
    PrefixCache cache(2);
    const std::string prompt(128, 'x');
    CHECK(cache.insert("a@1", prompt) == 32);
    CHECK(cache.insert("a@1", prompt) == 0);
    CHECK(cache.insert("b@1", prompt) == 32);
    CHECK(cache.insert("a@1", prompt) == 32);
}
