#include "tamarackcove/Fleet/AdapterHistory.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static AdapterKey adapter(int number)
{
    return {BaseModel("m"), "a" + std::to_string(number)};
}

static const ServerIdentity Server{.id = TargetId("s"), .startedAt = Incarnation(1)};

TEST_CASE("the history of a server drops the least recently held adapter beyond its limit")
{
    AdapterHistory history(2);
    history.recordHeld(Server, adapter(1));
    history.recordHeld(Server, adapter(2));
    history.recordHeld(Server, adapter(1));
    history.recordHeld(Server, adapter(3));
    const auto records = history.records();
    REQUIRE(records.size() == 1);
    CHECK(records[0].server == Server);
    CHECK(records[0].adapters == std::vector{adapter(1), adapter(3)});
}

TEST_CASE("the history of a server is cleared when it restarts, and removed when it is gone")
{
    AdapterHistory history(8);
    history.recordHeld(Server, adapter(1));
    const ServerIdentity restarted{.id = Server.id, .startedAt = Incarnation(2)};
    history.recordHeld(restarted, adapter(2));
    REQUIRE(history.records().size() == 1);
    CHECK(history.records()[0].server == restarted);
    CHECK(history.records()[0].adapters == std::vector{adapter(2)});
    history.forget(Server.id);
    CHECK(history.records().empty());
}
