#include "tamarackcove/Fleet/DeploymentConfiguration.h"
#include "tamarackcove/Fleet/RouteTable.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static DeploymentConfiguration configuration()
{
    DeploymentConfiguration result;
    result.version = 1;
    result.workspaces.push_back({.name = WorkspaceName("large"), .keys = {"k1", "k2"}});
    result.workspaces.push_back({.name = WorkspaceName("small"), .keys = {"k3"}});
    return result;
}

// Guards against requests that are counted for, or sent as, another workspace than the one that holds their key.
TEST_CASE("a key belongs to the workspace that lists it, and an unknown key to none")
{
    const RouteTable table(std::make_shared<const DeploymentConfiguration>(configuration()));
    REQUIRE(table.workspaces().find("k2") != nullptr);
    CHECK(table.workspaces().find("k2")->name == WorkspaceName("large"));
    CHECK(table.workspaces().find("k3")->name == WorkspaceName("small"));
    CHECK(table.workspaces().find("k4") == nullptr);
    CHECK(table.workspaces().find("") == nullptr);
    CHECK_FALSE(table.workspaces().empty());
}

// Guards against a configuration in force in which a key does not tell whose request it is.
TEST_CASE("a configuration with ambiguous workspaces is invalid, and its error names no key")
{
    auto invalid = configuration();
    CHECK_FALSE(invalid.validationError().has_value());
    SUBCASE("two workspaces share a key")
    {
        invalid.workspaces[1].keys.emplace_back("k1");
    }
    SUBCASE("an empty key")
    {
        invalid.workspaces[1].keys.emplace_back();
    }
    SUBCASE("an empty name")
    {
        invalid.workspaces[1].name = WorkspaceName();
    }
    SUBCASE("a name that occurs twice")
    {
        invalid.workspaces[1].name = WorkspaceName("large");
    }
    REQUIRE(invalid.validationError().has_value());
    CHECK(invalid.validationError()->find("k1") == std::string::npos);
}
