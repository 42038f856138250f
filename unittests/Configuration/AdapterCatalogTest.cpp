#include "tamarackcove/Configuration/AdapterCatalog.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static AdapterRef numbered(int number, const std::string &version = "1")
{
    return {"adapter-" + std::to_string(number), version};
}

TEST_CASE("140,000 adapters cost at most 64 bytes each and are all found")
{
    constexpr int Count = 140000;
    AdapterCatalog catalog;
    const AdapterRecord record{.baseModel = BaseModel("base-8b"), .service = ServiceName("drafting")};
    for (int i = 0; i < Count; ++i) {
        catalog.put(numbered(i), record);
    }
    CHECK(catalog.size() == Count);
    CHECK(catalog.memoryBytes() <= std::size_t{64} * Count);
    int missing = 0;
    for (int i = 0; i < Count; ++i) {
        missing += catalog.find(numbered(i)) ? 0 : 1;
    }
    CHECK(missing == 0);
    CHECK_FALSE(catalog.find(numbered(Count)));
}

TEST_CASE("a name has one current version, which the newest mark names")
{
    AdapterCatalog catalog;
    AdapterRecord record{.baseModel = BaseModel("base"), .service = ServiceName("s"), .current = true};
    catalog.put(numbered(1, "1"), record);
    catalog.put(numbered(1, "2"), record);
    CHECK(catalog.currentVersion("adapter-1") == numbered(1, "2"));
    CHECK_FALSE(catalog.find(numbered(1, "1"))->current);
    CHECK_FALSE(catalog.currentVersion("adapter-2"));
}

TEST_CASE("removing and adding again for long neither loses adapters nor grows the table")
{
    AdapterCatalog catalog;
    const AdapterRecord record;
    for (int i = 0; i < 1000; ++i) {
        catalog.put(numbered(i), record);
    }
    const auto before = catalog.memoryBytes();
    for (int round = 0; round < 100; ++round) {
        for (int i = 0; i < 1000; ++i) {
            REQUIRE(catalog.remove(numbered(i)));
            catalog.put(numbered(i), record);
        }
    }
    CHECK(catalog.size() == 1000);
    // The table doubles at most once, and dead names take at most the slots that a rebuild frees.
    CHECK(catalog.memoryBytes() <= before * 4);
}
