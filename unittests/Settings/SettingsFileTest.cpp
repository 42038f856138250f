#include "tamarackcove/Settings/SettingsFile.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace tamarackcove;

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["listen"],
    "properties": {"listen": {"type": "string"}, "idle_timeout_ms": {"type": "integer", "minimum": 1}}
})";

TEST_CASE("an unknown key, a value of the wrong type and a missing key are rejected with an error that names the key")
{
    CHECK(checkSettings(R"({"listen": "127.0.0.1:0"})", Schema).has_value());
    CHECK(checkSettings(R"({"listen": "127.0.0.1:0", "lissten": 1})", Schema).error().detail.find("lissten")
          != std::string::npos);
    CHECK(checkSettings(R"({"listen": "127.0.0.1:0", "idle_timeout_ms": "5s"})", Schema)
              .error()
              .detail.find("idle_timeout_ms")
          != std::string::npos);
    CHECK(checkSettings("{}", Schema).error().detail.find("listen") != std::string::npos);
    CHECK(checkSettings("{", Schema).error().code == SettingsErrorCode::NotJson);
}

TEST_CASE("a host name as endpoint and two keys with the same endpoint are rejected, unless the port is 0")
{
    CHECK(endpointAt({{"listen", "localhost:80"}}, "listen").has_error());
    CHECK(checkEndpointsDiffer("a", {"127.0.0.1", 80}, "b", {"127.0.0.1", 80}).has_error());
    CHECK(checkEndpointsDiffer("a", {"127.0.0.1", 0}, "b", {"127.0.0.1", 0}).has_value());
}
