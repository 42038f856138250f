#include "tamarackcove/Engine/AdapterSlots.h"
#include "tamarackcove/Engine/LaggedReport.h"
#include "tamarackcove/Engine/PrefixCache.h"
#include "tamarackcove/Engine/TokenFunction.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("an engine that refuses stale orders keeps the highest number; one that ignores them obeys")
{
    AdapterSlots strict(2, true);
    CHECK(strict.load("a@1", FencingNumber(5)) == LoadDecision::Fetch);
    CHECK(strict.load("b@1", FencingNumber(4)) == LoadDecision::StaleFencing);
    CHECK(strict.unload("a@1", FencingNumber(4)) == UnloadDecision::StaleFencing);
    AdapterSlots lax(2, false);
    CHECK(lax.load("a@1", FencingNumber(5)) == LoadDecision::Fetch);
    CHECK(lax.load("b@1", FencingNumber(4)) == LoadDecision::Fetch);
    CHECK(lax.staleOrders() == 1);
    CHECK(lax.highestFencing() == FencingNumber(5));
}

TEST_CASE("a loading adapter occupies its slot, and a failed load frees it")
{
    AdapterSlots slots(1, true);
    CHECK(slots.load("a@1", {}) == LoadDecision::Fetch);
    CHECK(slots.load("a@1", {}) == LoadDecision::AlreadyLoading);
    CHECK(slots.load("b@1", {}) == LoadDecision::NoFreeSlot);
    CHECK_FALSE(slots.resident("a@1"));
    CHECK(slots.unload("a@1", {}) == UnloadDecision::StillLoading);
    slots.finishLoad("a@1", false);
    CHECK(slots.load("b@1", {}) == LoadDecision::Fetch);
    slots.finishLoad("b@1", true);
    CHECK(slots.load("b@1", {}) == LoadDecision::AlreadyResident);
    CHECK(slots.residentAdapters() == std::vector<std::string>{"b@1"});
}

TEST_CASE("an unload of an adapter in use is counted, so that a test can prove that none happened")
{
    AdapterSlots slots(1, true);
    CHECK(slots.load("a@1", {}) == LoadDecision::Fetch);
    slots.finishLoad("a@1", true);
    slots.pin("a@1");
    CHECK(slots.unload("a@1", {}) == UnloadDecision::UnloadedInUse);
    CHECK(slots.unloadsInUse() == 1);
}

TEST_CASE("a token tells its adapter, prompt and offset, and distinct inputs differ")
{
    const TokenFunction function("a@1", "hello");
    CHECK(TokenFunction::parse(function.token(17).substr(0, function.token(17).size() - 1)) == function.parts(17));
    CHECK(function.parts(0).adapterMark != TokenFunction("a@2", "hello").parts(0).adapterMark);
    CHECK(function.parts(0).promptMark != TokenFunction("a@1", "hello2").parts(0).promptMark);
    CHECK_FALSE(TokenFunction::parse("da1efa.c063b5.").has_value());
    CHECK_FALSE(TokenFunction::parse("error").has_value());
}

TEST_CASE("a lagging report is the newest one of that age, not the current one")
{
    LaggedReport reports;
    const TimePoint start(seconds(100));
    reports.record(start, {.running = 1, .waiting = 0, .adapters = {}});
    reports.record(start + seconds(1), {.running = 2, .waiting = 0, .adapters = {}});
    CHECK(reports.at(start + seconds(1), seconds(0)).running == 2);
    CHECK(reports.at(start + seconds(1), milliseconds(500)).running == 1);
    CHECK(reports.at(start + seconds(1), seconds(30)).running == 1);
}

TEST_CASE("a prompt that was seen is cached for its adapter only, and the oldest blocks make room")
{
    PrefixCache cache(2);
    const std::string prompt(128, 'x');
    CHECK(cache.admit("a@1", prompt) == 32);
    CHECK(cache.admit("a@1", prompt) == 0);
    CHECK(cache.admit("b@1", prompt) == 32);
    CHECK(cache.admit("a@1", prompt) == 32);
}
