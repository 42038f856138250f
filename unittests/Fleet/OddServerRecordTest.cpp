#include "tamarackcove/Fleet/ServerRegistry.h"

#include <doctest/doctest.h>
#include <limits>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};

static ServerHeartbeat validServer()
{
    ServerHeartbeat server;
    server.identity = {.id = TargetId("a"), .startedAt = Incarnation(1)};
    server.service = ServiceName("s");
    server.endpoint = {.host = "10.0.0.1", .port = 80};
    server.zone = Zone("z");
    server.slots = 4;
    return server;
}

// Guards against a record in the log, or in the report of an entry, that every later leader offers to all entries.
TEST_CASE("a recorded server that nobody can reach or that has very long names is not added")
{
    ServerRegistry registry({});
    auto odd = validServer();
    SUBCASE("no address")
    {
        odd.endpoint = {};
    }
    SUBCASE("port 0")
    {
        odd.endpoint.port = 0;
    }
    SUBCASE("the address of every interface")
    {
        odd.endpoint.host = "0.0.0.0";
    }
    SUBCASE("a long zone")
    {
        odd.zone = Zone(std::string(1024 * 1024, 'z'));
    }
    SUBCASE("an id that no header can hold")
    {
        odd.identity.id = TargetId("a\r\nb");
    }
    SUBCASE("many models")
    {
        odd.models.resize(100000, {.name = BaseModel("m"), .version = 1, .adapters = {}});
    }
    SUBCASE("a start far in the future")
    {
        odd.identity.startedAt = Incarnation(std::numeric_limits<std::uint64_t>::max());
    }
    CHECK_FALSE(registry.addUnannounced(odd, false, Start));
    CHECK(registry.servers().empty());
    CHECK(registry.addUnannounced(validServer(), false, Start));
}
