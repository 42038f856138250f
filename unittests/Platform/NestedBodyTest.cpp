#include "Deployment.h"
#include "OddEntries.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;
using nlohmann::json;

/// Bodies of calls to the control host, and bodies of other senders.
static std::vector<std::string> nestedBodies()
{
    return {withNestedField(heartbeatAt("127.0.0.1:9"), "models"),
            withNestedField(heartbeatAt("127.0.0.1:9"), "available"),
            withNestedField({{"version", 9}, {"services", json::array()}}, "routes"), nestedArrays(DeepNesting),
            std::string(DeepNesting, '[')};
}

// Guards against a control host whose stack overflows when it reads one body.
TEST_CASE("a deeply nested body is refused, and the other servers are served")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        for (const auto *path : {"/v1/Instances.Heartbeat/odd", "/v1/Config.Replace", "/v1/version-put"}) {
            for (const auto &body : nestedBodies()) {
                const auto status = co_await deployment.callControl("POST", path, body);
                CAPTURE(std::string(path));
                CAPTURE(body.substr(0, 40));
                CHECK(status == 400);
            }
        }
        const auto response = co_await deployment.call("POST", "/once/x", "after");
        CHECK(response.status == 200);
    });
}

// Guards against a leader that ends each time it reads the state of one server.
TEST_CASE("a deeply nested state report counts as not read, and other servers load adapters")
{
    Deployment deployment;
    int reads = 0;
    StandInServer::Behaviour sendsEvents = [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, 2, 2);
    };
    deployment.addServer("p1", "plain", answerInFull);
    auto &odd = deployment.addServer("s1", "engines", sendsEvents);
    odd.reportBehaviour = [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
        ++reads;
        auto body = R"({"born":1,"seq":0,"models":)" + nestedArrays(400000) + "}";
        (void)co_await responder.send(jsonResponse(200, std::move(body)));
    };
    deployment.addServer("s2", "engines", sendsEvents);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "load", "a1");
        CHECK(response.status == 200);
        CHECK(reads >= 1);
        const auto [entry, control] = co_await deployment.metrics();
        checkContains(control, "tamarackcove_state_reads_failed_total");
    });
}

// Guards against a stack that overflows wherever else a document of another sender is read.
TEST_CASE("a deeply nested configuration or state report cannot be read")
{
    for (const auto *field : {"models", "pending"}) {
        CAPTURE(std::string(field));
        HttpResponse response;
        response.status = 200;
        response.body = withNestedField(stateReport(), field);
        CHECK_FALSE(platform::engineDialect().readReport(response).has_value());
    }
    const auto engine = withNestedField({{"slots", 8}}, "models");
    const auto document = R"({"version":7,"routes":[],"services":[{"name":"s","engine":)" + engine + "}]}";
    CHECK(platform::readConfiguration(document).has_error());
}
