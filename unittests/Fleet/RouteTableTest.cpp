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
    DeploymentConfiguration made;
    made.version = 1;
    made.services.push_back({.name = ServiceName("a")});
    made.services.push_back({.name = ServiceName("b")});
    made.routes
        = {route("short", "h.example", "/x/"), route("long", "h.example", "/x/y/"), route("other", "g.example", "/x/")};
    return made;
}

static RouteTable table()
{
    return RouteTable(std::make_shared<const DeploymentConfiguration>(configuration()));
}

TEST_CASE("the longest prefix of the host wins, whatever the order of the routes")
{
    const auto routes = table();
    REQUIRE(routes.find("h.example", "/x/y/z") != nullptr);
    CHECK(routes.find("h.example", "/x/y/z")->name == "long");
    CHECK(routes.find("h.example", "/x/z")->name == "short");
    CHECK(routes.find("g.example", "/x/y/z")->name == "other");
}

TEST_CASE("a host is compared without its port and without regard to case")
{
    CHECK(table().find("H.Example:8080", "/x/") != nullptr);
}

TEST_CASE("a request outside all prefixes or to another host has no route")
{
    CHECK(table().find("h.example", "/x") == nullptr);
    CHECK(table().find("f.example", "/x/") == nullptr);
}

TEST_CASE("a split follows its weights, and a service of weight 0 gets nothing")
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

TEST_CASE("a configuration that cannot be in force names its fault")
{
    auto bad = configuration();
    CHECK_FALSE(bad.fault().has_value());
    SUBCASE("an unknown service")
    {
        bad.routes[0].services[0].service = ServiceName("c");
    }
    SUBCASE("two routes at one place")
    {
        bad.routes[1].pathPrefix = "/x/";
    }
    SUBCASE("weights that add up to 0")
    {
        bad.routes[0].services[0].weight = 0;
    }
    SUBCASE("a timeout of 0")
    {
        bad.routes[0].timeout = milliseconds(0);
    }
    SUBCASE("no version")
    {
        bad.version = 0;
    }
    CHECK(bad.fault().has_value());
}
