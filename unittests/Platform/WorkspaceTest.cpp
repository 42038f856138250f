#include "Deployment.h"

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;
using nlohmann::json;

namespace {

/// The keys of the two workspaces of the configuration.
struct Keys
{
    std::vector<std::string> first{"key-one"};
    std::vector<std::string> second{"key-two"};
};

} // namespace

/// Adds two workspaces to the configuration. The route /again/ is public, as the readiness check of Deployment uses it.
static void addWorkspaces(json &document, const Keys &keys)
{
    for (auto &route : document["routes"]) {
        route["public"] = route["pathPrefix"] == "/again/";
    }
    document["tenants"] = json::array({{{"name", "first"}, {"apiKeys", keys.first}, {"priority", 1}},
                                       {{"name", "second"}, {"apiKeys", keys.second}}});
}

static asio::awaitable<int> callWithKey(Deployment &deployment, std::string path, std::string id, std::string key)
{
    auto request = Deployment::callerRequest("POST", std::move(path), std::move(id), {}, milliseconds(4000));
    request.headers.set("Tamarackcove-Tenant", "forged");
    if (!key.empty()) {
        request.headers.set("Authorization", "Token " + key);
    }
    auto entry = deployment.callerEndpoint();
    const auto response = co_await httpExchange(std::move(entry), std::move(request), CallTimeout);
    co_return response.has_value() ? response.value().status : 0;
}

/// The request with this id as the server got it.
static const HttpRequest &requestAt(const StandInServer &server, const std::string &id)
{
    for (const auto &request : server.requests) {
        if (request.headers.find("Tamarackcove-Attempt-Id") == id) {
            return request;
        }
    }
    FAIL("the server got no request ", id);
    return server.requests.front();
}

// Guards against keys that reach servers, and against requests that name a workspace whose key they do not have.
TEST_CASE("servers get the workspace that holds the key of a request, and never a key or what the caller claims")
{
    Deployment deployment;
    const auto &server = deployment.addServer("s1", "plain", answerInFull);
    deployment.adjustConfiguration = [](json &document) {
        addWorkspaces(document, {});
    };
    deployment.run([&]() -> asio::awaitable<void> {
        const auto known = co_await callWithKey(deployment, "/once/x", "known", "key-one");
        CHECK(known == 200);
        const auto unknown = co_await callWithKey(deployment, "/once/x", "unknown", "key-none");
        CHECK(unknown == 401);
        const auto missing = co_await callWithKey(deployment, "/once/x", "missing", "");
        CHECK(missing == 401);
        const auto isPublic = co_await callWithKey(deployment, "/again/x", "public", "key-two");
        CHECK(isPublic == 200);
        const auto [metrics, controlMetrics] = co_await deployment.metrics();
        checkContains(metrics, "workspace_requests_total{workspace=\"first\"} 1");
    });
    CHECK(requestCount(server, "unknown") == 0);
    CHECK(requestCount(server, "missing") == 0);
    CHECK(requestAt(server, "known").headers.find("Tamarackcove-Tenant") == "first");
    CHECK_FALSE(requestAt(server, "known").headers.find("Authorization").has_value());
    CHECK_FALSE(requestAt(server, "public").headers.find("Tamarackcove-Tenant").has_value());
    CHECK_FALSE(requestAt(server, "public").headers.find("Authorization").has_value());
}

// Guards against a withdrawn key that is still served, also on connections that were opened before, and against a moved
// key whose requests are sent as those of its former workspace.
TEST_CASE("a withdrawn key is refused and a moved key belongs to its new workspace once the configuration is in force")
{
    Deployment deployment;
    const auto &server = deployment.addServer("s1", "plain", answerInFull);
    Keys keys;
    deployment.adjustConfiguration = [&keys](json &document) {
        addWorkspaces(document, keys);
    };
    deployment.run([&]() -> asio::awaitable<void> {
        auto connection = co_await HttpConnection::connect(deployment.callerEndpoint(), CallTimeout);
        REQUIRE(connection.has_value());
        const auto callOnConnection = [&](std::string id) -> asio::awaitable<int> {
            auto request = Deployment::callerRequest("POST", "/once/x", std::move(id), {}, milliseconds(4000));
            request.headers.set("Authorization", "Token key-one");
            const auto response = co_await connection.value()->exchange(std::move(request), CallTimeout);
            co_return response.has_value() ? response.value().status : 0;
        };
        const auto before = co_await callOnConnection("before");
        CHECK(before == 200);
        keys = {.first = {"key-two"}, .second = {"key-three"}};
        const auto accepted = co_await deployment.putConfiguration(8);
        CHECK(accepted == 200);
        int status = 200;
        for (int i = 0; i < 200 && status == 200; ++i) {
            co_await deployment.sleepFor(milliseconds(10));
            status = co_await callOnConnection("after" + std::to_string(i));
        }
        CHECK(status == 401);
        const auto moved = co_await callWithKey(deployment, "/once/x", "moved", "key-two");
        CHECK(moved == 200);
        keys.second = {"key-two"};
        const auto shared = co_await deployment.putConfiguration(9);
        CHECK(shared == 400);
    });
    CHECK(requestAt(server, "moved").headers.find("Tamarackcove-Tenant") == "first");
}
