#include "Deployment.h"

#include <boost/asio/detached.hpp>
#include <map>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;
using nlohmann::json;

/// How long the server takes for a request; long against what the machine takes in between.
static constexpr milliseconds WorkTime{40};
/// Requests from which the entry learns the service time.
static constexpr int FirstRequests = 36;
/// Requests that occupy the server, five times its slots.
static constexpr int BlockingRequests = 40;

/// Adds two workspaces, of which the second is less urgent. The route /again/ is public, as the readiness check of
/// Deployment uses it.
static void addWorkspaces(json &document)
{
    for (auto &route : document["routes"]) {
        route["public"] = route["pathPrefix"] == "/again/";
    }
    document["tenants"] = json::array({{{"name", "urgent"}, {"apiKeys", {"key-one"}}, {"priority", 0}},
                                       {{"name", "patient"}, {"apiKeys", {"key-two"}}, {"priority", 2}}});
}

static asio::awaitable<HttpResponse> callWithKey(Deployment &deployment, std::string path, std::string id,
                                                 std::string key, milliseconds timeLeft)
{
    auto request = Deployment::callerRequest("POST", std::move(path), std::move(id), {}, timeLeft);
    request.headers.set("Authorization", "Token " + key);
    request.headers.set("Tamarackcove-Request-Urgency", "0");
    if (request.target.starts_with("/stream/")) {
        request.headers.set("Tamarackcove-Model", "m");
    }
    auto entry = deployment.callerEndpoint();
    auto response = co_await httpExchange(std::move(entry), std::move(request), CallTimeout);
    HttpResponse failed;
    failed.status = 0;
    co_return response.has_value() ? std::move(response).value() : failed;
}

namespace {

/// A plain server that answers after WorkTime, or while it is blocked, not before it is released.
struct BlockableServer
{
    explicit BlockableServer(Deployment &used)
        : deployment(used)
        , server(used.addServer("s1", "plain", [this](const HttpRequest &request, HttpResponder &responder) {
            return answer(request, responder);
        }))
    {
    }
    asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder)
    {
        do {
            co_await this->deployment.sleepFor(WorkTime);
        } while (blocked);
        co_await answerInFull(request, responder);
    }
    /// The place of a request in the order of arrival; the number of requests if it has not arrived.
    [[nodiscard]] std::size_t placeOf(const std::string &id) const
    {
        std::size_t place = 0;
        while (place < server.requests.size() && server.requests[place].headers.find("Tamarackcove-Attempt-Id") != id) {
            ++place;
        }
        return place;
    }

    Deployment &deployment;
    StandInServer &server;
    bool blocked = false;
};

/// Calls that run beside the test, with the status of each answer; 0 until it has come.
struct ConcurrentCalls
{
    explicit ConcurrentCalls(Deployment &used)
        : deployment(used)
    {
    }
    void start(const std::string &id, const std::string &key)
    {
        statuses[id] = 0;
        asio::co_spawn(
            deployment.executor(),
            [this, id, key]() -> asio::awaitable<void> {
                const auto response = co_await callWithKey(deployment, "/once/x", id, key, milliseconds(4000));
                statuses[id] = response.status;
            },
            asio::detached);
    }
    [[nodiscard]] bool ended() const
    {
        return std::all_of(statuses.begin(), statuses.end(), [](const auto &item) { return item.second != 0; });
    }

    Deployment &deployment;
    std::map<std::string, int> statuses;
};

} // namespace

/// Waits until the metrics of the entry contain a text; RunTimeout ends the wait if they never do.
static asio::awaitable<void> awaitMetric(Deployment &deployment, std::string text)
{
    for (;;) {
        const auto [entry, control] = co_await deployment.metrics();
        if (entry.find(text) != std::string::npos) {
            co_return;
        }
        co_await deployment.sleepFor(milliseconds(20));
    }
}

// Guards against requests that are sent into a full queue: 40 requests are in progress at a server with 8 slots.
// Without admission control the test does not get past the wait for a limited share.
TEST_CASE("at an overloaded service requests are held, sent by priority once there is room, or refused as not run")
{
    Deployment deployment;
    BlockableServer server(deployment);
    deployment.adjustConfiguration = addWorkspaces;
    deployment.admissionControl = true;
    ConcurrentCalls calls(deployment);
    deployment.run([&]() -> asio::awaitable<void> {
        for (int i = 0; i < FirstRequests; ++i) {
            const auto answered = co_await callWithKey(deployment, "/once/x", "first" + std::to_string(i), "key-one",
                                                       milliseconds(4000));
            CHECK(answered.status == 200);
        }
        server.blocked = true;
        for (int i = 0; i < BlockingRequests; ++i) {
            calls.start("block" + std::to_string(i), "key-one");
        }
        co_await awaitMetric(deployment, "tamarackcove_admission_share{service=\"plain\"} 0.");
        calls.start("patient", "key-two");
        co_await awaitMetric(deployment, "priority=\"2\",decision=\"held\"");
        calls.start("urgent", "key-one");
        const auto refused = co_await callWithKey(deployment, "/once/x", "short", "key-one", milliseconds(50));
        CHECK(refused.status == 503);
        CHECK(refused.headers.find("Retry-After").has_value());
        server.blocked = false;
        while (!calls.ended()) {
            co_await deployment.sleepFor(milliseconds(10));
        }
        const auto [metrics, controlMetrics] = co_await deployment.metrics();
        checkContains(metrics, "decision=\"refused\",reason=\"too_little_time\"");
        checkContains(metrics, "decision=\"admitted\",reason=\"open\"");
    });
    CHECK(server.placeOf("short") == server.server.requests.size());
    CHECK(server.placeOf("urgent") < server.placeOf("patient"));
    CHECK(calls.statuses["urgent"] == 200);
    CHECK(calls.statuses["patient"] == 200);
}

// Guards against callers that set the urgency themselves, and against plain servers and engines that get it the wrong
// way round.
TEST_CASE("engines get the urgency of the workspace's priority, whatever the caller asks for")
{
    Deployment deployment;
    const auto &plain = deployment.addServer("s1", "plain", answerInFull);
    const auto &engine
        = deployment.addServer("s2", "engines", [](const HttpRequest &request, HttpResponder &responder) {
              return sendEvents(request, responder, 2, 2);
          });
    deployment.adjustConfiguration = addWorkspaces;
    deployment.admissionControl = true;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto first = co_await callWithKey(deployment, "/stream/x", "one", "key-one", milliseconds(4000));
        CHECK(first.status == 200);
        const auto second = co_await callWithKey(deployment, "/stream/x", "two", "key-two", milliseconds(4000));
        CHECK(second.status == 200);
        const auto third = co_await callWithKey(deployment, "/once/x", "three", "key-two", milliseconds(4000));
        CHECK(third.status == 200);
    });
    REQUIRE(engine.requests.size() == 2);
    CHECK(engine.requests[0].headers.find("Tamarackcove-Request-Urgency") == "2");
    CHECK(engine.requests[1].headers.find("Tamarackcove-Request-Urgency") == "6");
    for (const auto &request : plain.requests) {
        CHECK_FALSE(request.headers.find("Tamarackcove-Request-Urgency").has_value());
    }
}
