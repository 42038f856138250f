#include "tamarackcove/Fleet/CachedAdapters.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static AdapterKey key(const std::string &adapter)
{
    return {BaseModel("m"), adapter};
}

TEST_CASE("the adapters held least recently are removed beyond the capacity")
{
    CachedAdapters cached;
    cached.add(key("a"), 2);
    cached.add(key("b"), 2);
    cached.add(key("a"), 2);
    cached.add(key("c"), 2);
    CHECK(cached.contains(key("a")));
    CHECK_FALSE(cached.contains(key("b")));
    CHECK(cached.contains(key("c")));
}

TEST_CASE("adapters that were held earlier yield to those held later")
{
    CachedAdapters cached;
    cached.add(key("new"), 2);
    cached.addEarlier({key("old"), key("older than none")}, 2);
    CHECK(cached.contains(key("new")));
    CHECK_FALSE(cached.contains(key("old")));
    cached.assign({key("x")});
    CHECK_FALSE(cached.contains(key("new")));
    CHECK(cached.contains(key("x")));
}
