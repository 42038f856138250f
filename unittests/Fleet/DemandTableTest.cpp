#include "tamarackcove/Fleet/DemandTable.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static DemandTable::Demand demand(const std::string &adapter, int waiting)
{
    return {.adapter = {BaseModel("m"), adapter}, .waiting = waiting, .version = 0, .failed = 0, .zone = Zone("z")};
}

static AdapterKey key(const std::string &adapter)
{
    return {BaseModel("m"), adapter};
}

static const TimePoint Start{seconds(100)};

TEST_CASE("the demands of entries are summed, and those of an entry that has gone are removed")
{
    DemandTable table({});
    table.replace(EntryId("e1"), {demand("a", 2), demand("b", 1)}, Start);
    table.put(EntryId("e2"), {demand("a", 3)}, Start);
    CHECK(table.waiting(key("a")) == 5);
    CHECK(table.awaits(EntryId("e1"), key("b")));
    CHECK_FALSE(table.awaits(EntryId("e2"), key("b")));
    table.replace(EntryId("e1"), {demand("a", 1)}, Start);
    CHECK(table.waiting(key("a")) == 4);
    CHECK(table.waiting(key("b")) == 0);
    table.removeEntry(EntryId("e2"));
    CHECK(table.waiting(key("a")) == 1);
    CHECK(table.size() == 1);
}

TEST_CASE("an adapter is considered at once when more requests wait for it, and otherwise after the refresh interval")
{
    DemandTable table({.refreshInterval = milliseconds(200)});
    table.put(EntryId("e1"), {demand("a", 2)}, Start);
    REQUIRE(table.takeDue(10, Start).size() == 1);
    table.replace(EntryId("e1"), {demand("a", 2)}, Start + milliseconds(50));
    CHECK(table.takeDue(10, Start + milliseconds(50)).empty());
    table.put(EntryId("e2"), {demand("a", 1)}, Start + milliseconds(60));
    const auto grown = table.takeDue(10, Start + milliseconds(60));
    REQUIRE(grown.size() == 1);
    CHECK(grown.front().waiting == 3);
    table.replace(EntryId("e1"), {demand("a", 2)}, Start + milliseconds(260));
    CHECK(table.takeDue(10, Start + milliseconds(260)).size() == 1);
}

TEST_CASE("the latest demand comes first, and an adapter that nobody waits for any more is left out")
{
    DemandTable table({});
    table.put(EntryId("e1"), {demand("a", 1)}, Start);
    table.put(EntryId("e1"), {demand("b", 1)}, Start);
    table.put(EntryId("e2"), {demand("c", 1)}, Start);
    table.removeEntry(EntryId("e2"));
    const auto due = table.takeDue(10, Start);
    REQUIRE(due.size() == 2);
    CHECK(due[0].adapter == key("b"));
    CHECK(due[1].adapter == key("a"));
    CHECK_FALSE(table.hasDue());
}

// Guards against a planner whose work grows with the number of entries that wait for the same adapters and with how
// often they report: each consideration visits all servers.
TEST_CASE("how often adapters are considered does not grow with the number of entries")
{
    constexpr int Adapters = 10;
    constexpr milliseconds ReportInterval{200};
    constexpr int Rounds = 25;
    for (const int entries : {67, 150, 330}) {
        CAPTURE(entries);
        DemandTable table({.refreshInterval = milliseconds(200)});
        std::vector<DemandTable::Demand> demands;
        demands.reserve(Adapters);
        for (int i = 0; i < Adapters; ++i) {
            demands.push_back(demand("a" + std::to_string(i), 1));
        }
        // All entries report, spread over the interval; the planner considers demands every 10 ms.
        std::size_t considered = 0;
        auto now = Start;
        auto nextRound = Start;
        for (int round = 0; round < Rounds; ++round) {
            for (int entry = 0; entry < entries; ++entry) {
                now = Start + round * ReportInterval + entry * Duration(ReportInterval) / entries;
                table.replace(EntryId(std::to_string(entry)), demands, now);
                if (now >= nextRound) {
                    considered += table.takeDue(100, now).size();
                    nextRound = now + milliseconds(10);
                }
            }
        }
        // In the first interval the demands grow with each entry, afterwards they are only refreshed.
        CHECK(considered <= static_cast<std::size_t>(Adapters) * (ReportInterval / milliseconds(10) + Rounds));
    }
}
