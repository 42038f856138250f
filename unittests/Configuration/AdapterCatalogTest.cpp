#include "tamarackcove/Configuration/AdapterCatalog.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static AdapterRef makeAdapter(int number, const std::string &version = "1")
{
    return {"adapter-" + std::to_string(number), version};
}

TEST_CASE("140,000 adapters cost at most 64 bytes each and are all found")
{
    constexpr int Count = 140000;
    AdapterCatalog catalog;
    const AdapterRecord record{.baseModel = BaseModel("base-8b"), .service = ServiceName("drafting")};
    for (int i = 0; i < Count; ++i) {
        catalog.put(makeAdapter(i), record);
    }
    CHECK(catalog.size() == Count);
    CHECK(catalog.memoryBytes() <= std::size_t{64} * Count);
    int missing = 0;
    for (int i = 0; i < Count; ++i) {
        missing += catalog.find(makeAdapter(i)) ? 0 : 1;
    }
    CHECK(missing == 0);
    CHECK_FALSE(catalog.find(makeAdapter(Count)));
}

TEST_CASE("putting a current version replaces the previous current version of the name")
{
    AdapterCatalog catalog;
    AdapterRecord record{.baseModel = BaseModel("base"), .service = ServiceName("s"), .current = true};
    catalog.put(makeAdapter(1, "1"), record);
    catalog.put(makeAdapter(1, "2"), record);
    CHECK(catalog.currentVersion("adapter-1") == makeAdapter(1, "2"));
    CHECK_FALSE(catalog.find(makeAdapter(1, "1"))->current);
    CHECK_FALSE(catalog.currentVersion("adapter-2"));
}

TEST_CASE("repeated removal and re-adding of adapters loses none of them and keeps the memory bounded")
{
    AdapterCatalog catalog;
    const AdapterRecord record;
    for (int i = 0; i < 1000; ++i) {
        catalog.put(makeAdapter(i), record);
    }
    const auto before = catalog.memoryBytes();
    for (int round = 0; round < 100; ++round) {
        for (int i = 0; i < 1000; ++i) {
            REQUIRE(catalog.remove(makeAdapter(i)));
            catalog.put(makeAdapter(i), record);
        }
    }
    CHECK(catalog.size() == 1000);
    // The slot table doubles at most once. Each rebuild drops the names of removed adapters, so their number is bounded
    // by the number of tombstones.
    CHECK(catalog.memoryBytes() <= before * 4);
}
