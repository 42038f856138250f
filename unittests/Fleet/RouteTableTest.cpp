#include "tamarackcove/Fleet/RouteTable.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static RouteRule route(const std::string &name, const std::string &host, const std::string &prefix)
{
    RouteRule rule;
    rule.name = name;
    rule.host = host;
    rule.pathPrefix = prefix;
    rule.timeout = milliseconds(100);
    rule.services.push_back({.service = ServiceName("a"), .weight = 1});
    return rule;
}

static DeploymentConfiguration configuration()
{
    DeploymentConfiguration result;
    result.version = 1;
    result.services.push_back({.name = ServiceName("a")});
    result.services.push_back({.name = ServiceName("b")});
    result.routes
        = {route("short", "h.example", "/x/"), route("long", "h.example", "/x/y/"), route("other", "g.example", "/x/")};
    return result;
}

static RouteTable table()
{
    return RouteTable(std::make_shared<const DeploymentConfiguration>(configuration()));
}

TEST_CASE("the route with the longest matching prefix of the host is found, in any order of the routes")
{
    const auto routes = table();
    REQUIRE(routes.find("h.example", "/x/y/z") != nullptr);
    CHECK(routes.find("h.example", "/x/y/z")->name == "long");
    CHECK(routes.find("h.example", "/x/z")->name == "short");
    CHECK(routes.find("g.example", "/x/y/z")->name == "other");
}

TEST_CASE("hosts are compared without the port and case-insensitively")
{
    CHECK(table().find("H.Example:8080", "/x/") != nullptr);
}

TEST_CASE("a request to another path or host has no route")
{
    CHECK(table().find("h.example", "/x") == nullptr);
    CHECK(table().find("f.example", "/x/") == nullptr);
}

TEST_CASE("requests are split by the weights of the services, and a service of weight 0 gets none")
{
    auto rule = route("split", "h.example", "/");
    rule.services = {{.service = ServiceName("a"), .weight = 90},
                     {.service = ServiceName("none"), .weight = 0},
                     {.service = ServiceName("b"), .weight = 10}};
    int second = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto &chosen = RouteTable::chooseService(rule, i / 1000.0);
        CHECK(chosen != ServiceName("none"));
        second += chosen == ServiceName("b") ? 1 : 0;
    }
    CHECK(second == 100);
}

TEST_CASE("an invalid configuration is reported with an error")
{
    auto changed = configuration();
    CHECK_FALSE(changed.validationError().has_value());
    SUBCASE("an undefined service")
    {
        changed.routes[0].services[0].service = ServiceName("c");
    }
    SUBCASE("two routes with the same host and path prefix")
    {
        changed.routes[1].pathPrefix = "/x/";
    }
    SUBCASE("weights that add up to 0")
    {
        changed.routes[0].services[0].weight = 0;
    }
    SUBCASE("a timeout of 0")
    {
        changed.routes[0].timeout = milliseconds(0);
    }
    SUBCASE("no version")
    {
        changed.version = 0;
    }
    CHECK(changed.validationError().has_value());
}
