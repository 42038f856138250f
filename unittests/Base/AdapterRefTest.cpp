#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Endpoint.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("AdapterRef::parse rejects a missing name or version, invalid characters and text that is too long")
{
    CHECK(AdapterRef::parse("show-rules@3") == AdapterRef("show-rules", "3"));
    CHECK_FALSE(AdapterRef::parse("show-rules"));
    CHECK_FALSE(AdapterRef::parse("@3"));
    CHECK_FALSE(AdapterRef::parse("show-rules@"));
    CHECK_FALSE(AdapterRef::parse("a b@1"));
    CHECK_FALSE(AdapterRef::parse(std::string(300, 'a') + "@1"));
}

TEST_CASE("Endpoint::parse accepts IP addresses only, so that no host name is resolved later")
{
    CHECK(Endpoint::parse("127.0.0.1:80") == Endpoint{"127.0.0.1", 80});
    CHECK(Endpoint::parse("[::1]:80") == Endpoint{"::1", 80});
    CHECK_FALSE(Endpoint::parse("localhost:80"));
    CHECK_FALSE(Endpoint::parse("127.0.0.1:70000"));
    CHECK_FALSE(Endpoint::parse("127.0.0.1"));
}
