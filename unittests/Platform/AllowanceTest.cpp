#include "Deployment.h"

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;
using nlohmann::json;

/// Adds one workspace with this allowance in tokens. The route /again/ is public, as the readiness check of Deployment
/// uses it.
static void addAllowance(json &document, double ratePerSecond, double burst)
{
    for (auto &route : document["routes"]) {
        route["public"] = route["pathPrefix"] == "/again/";
    }
    document["tenants"] = json::array({{{"name", "first"},
                                        {"apiKeys", {"key-one"}},
                                        {"unit", "tokens"},
                                        {"plainTokens", 100},
                                        {"ratePerS", ratePerSecond},
                                        {"burst", burst}}});
}

static asio::awaitable<HttpResponse> callWithUsage(Deployment &deployment, std::string id, std::string usage)
{
    auto request = Deployment::callerRequest("POST", "/once/x", std::move(id), {}, milliseconds(4000));
    request.headers.set("Authorization", "Token key-one");
    if (!usage.empty()) {
        request.headers.set("Tamarackcove-Token-Usage", usage);
    }
    auto entry = deployment.callerEndpoint();
    auto response = co_await httpExchange(std::move(entry), std::move(request), CallTimeout);
    HttpResponse failed;
    failed.status = 0;
    co_return response.has_value() ? std::move(response).value() : failed;
}

/// Sends requests of this usage until one is answered with the status, 100 at most.
static asio::awaitable<bool> callUntil(Deployment &deployment, int status, std::string prefix, std::string usage)
{
    for (int i = 0; i < 100; ++i) {
        const auto response = co_await callWithUsage(deployment, prefix + std::to_string(i), usage);
        if (response.status == status) {
            co_return true;
        }
        co_await deployment.sleepFor(milliseconds(50));
    }
    co_return false;
}

// Guards against an allowance that is not applied on the whole path: a refusal must name its workspace as over its
// allowance, say when to come back, and not reach a server; what is let in must be about the allowance.
TEST_CASE("requests beyond the allowance of their workspace are refused with 429 and do not run")
{
    Deployment deployment;
    const auto &server = deployment.addServer("s1", "plain", answerInFull);
    deployment.adjustConfiguration = [](json &document) {
        addAllowance(document, 2000, 2000);
    };
    deployment.run([&]() -> asio::awaitable<void> {
        const auto first = co_await callUntil(deployment, 200, "first", "400,100");
        CHECK(first);
        const auto startTime = Clock::now();
        int served = 0;
        int refused = 0;
        for (int i = 0; i < 60; ++i) {
            const auto id = "flood" + std::to_string(i);
            const auto response = co_await callWithUsage(deployment, id, "400,100");
            served += response.status == 200 ? 1 : 0;
            if (response.status == 429) {
                ++refused;
                CHECK(response.headers.find("Retry-After").has_value());
                CHECK(requestCount(server, id) == 0);
            }
        }
        const auto elapsed = std::chrono::duration<double>(Clock::now() - startTime).count();
        CHECK(served + refused == 60);
        // The allowance goes on to be served, however fast the flood was.
        const auto again = co_await callUntil(deployment, 200, "again", "400,100");
        CHECK(again);
        // The allowance, its burst, one request, and what the reserve lets an entry overdraw.
        CHECK(500 * served <= 2000 * elapsed + 2000 + 500 + 57000);
        const auto [metrics, controlMetrics] = co_await deployment.metrics();
        if (refused > 0) {
            checkContains(metrics, "reason=\"over_allowance\"");
        }
        checkContains(metrics, "workspace_share_units");
        checkContains(controlMetrics, "workspace_requested_units_per_second{workspace=\"first\"}");
    });
}

// Guards against large requests that never fit a share, and against callers that are refused because no leader is
// there.
TEST_CASE("a request larger than a share gets a one-time lease, and an entry without a leader uses its share")
{
    Deployment deployment;
    deployment.addServer("s1", "plain", answerInFull);
    deployment.adjustConfiguration = [](json &document) {
        addAllowance(document, 50000, 50000);
    };
    deployment.run([&]() -> asio::awaitable<void> {
        // In the first seconds of a leader an entry may overdraw its share instead.
        std::string entryMetrics;
        for (int i = 0; i < 100 && entryMetrics.find("reason=\"lease\"") == std::string::npos; ++i) {
            const auto large = co_await callUntil(deployment, 200, "large" + std::to_string(i) + "-", "39000,1000");
            CHECK(large);
            const auto [metrics, controlMetrics] = co_await deployment.metrics();
            entryMetrics = metrics;
        }
        checkContains(entryMetrics,
                      "allowance_decisions_total{workspace=\"first\",decision=\"granted\",reason=\"lease\"}");
        co_await deployment.stopControl();
        const auto alone = co_await callUntil(deployment, 200, "alone", "");
        CHECK(alone);
    });
}

// Guards against messages and decisions where the configuration has no allowances.
TEST_CASE("without allowances nothing is decided, reported or leased")
{
    Deployment deployment;
    deployment.addServer("s1", "plain", answerInFull);
    deployment.adjustConfiguration = [](json &document) {
        addAllowance(document, 0, 0);
    };
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await callWithUsage(deployment, "x", "39000,1000");
        CHECK(response.status == 200);
        const auto [metrics, controlMetrics] = co_await deployment.metrics();
        CHECK(metrics.find("allowance") == std::string::npos);
        CHECK(metrics.find("workspace_share") == std::string::npos);
        CHECK(controlMetrics.find("allowance") == std::string::npos);
        CHECK(controlMetrics.find("workspace_") == std::string::npos);
    });
}
