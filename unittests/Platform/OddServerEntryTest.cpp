#include "Deployment.h"
#include "OddEntries.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;
using nlohmann::json;

static std::optional<ServerReport> readReport(const std::string &body)
{
    HttpResponse response;
    response.status = 200;
    response.body = body;
    return platform::engineDialect().readReport(response);
}

/// Values that do not describe a server. Each is put into an otherwise valid heartbeat.
static constexpr OddField OddHeartbeatFields[] = {
    {"seq", "-1"},
    {"seq", "18446744073709551615"},
    {"seq", "18446744073709551616"},
    {"seq", "1e300"},
    {"seq", "1.5"},
    {"seq", "\"4\""},
    {"born", "-1"},
    {"born", "1e300"},
    {"born", "18446744073709551615"},
    {"born", "99999999999999999999999999"},
    {"slots", "-1"},
    {"slots", "1e300"},
    {"slots", "4294967297"},
    {"slots", "99999999999999999999999999"},
    {"slots", "[8]"},
    {"coldLeftMs", "1e300"},
    {"coldLeftMs", "9223372036854775807"},
    {"remainingMs", "-1e300"},
    {"remainingMs", "18446744073709551615"},
    {"addr", "\"127.0.0.1:0\""},
    {"addr", "\"127.0.0.1:65536\""},
    {"addr", "\"127.0.0.1:-1\""},
    {"addr", "\"127.0.0.1:99999999999\""},
    {"addr", "\"127.0.0.1\""},
    {"addr", "\"127.0.0.1:\""},
    {"addr", "\"localhost:80\""},
    {"addr", "\"127.0.0.1\\u0000x:80\""},
    {"addr", "\"0.0.0.0:80\""},
    {"addr", "\"[::]:80\""},
    {"addr", "\"256.0.0.1:80\""},
    {"addr", "80"},
    {"service", "\"\""},
    {"zone", "null"},
    {"state", "\"resting\""},
    {"models", "[{\"name\":\"m\",\"version\":1e300}]"},
    {"models", "[{\"name\":\"m\",\"version\":-1}]"},
    {"models", "[{\"name\":\"m\",\"adapters\":[\"a1@99999999999999999999\"]}]"},
    {"models", "[{\"name\":\"m\",\"adapters\":[\"a1@x\"]}]"},
    {"models", "[{\"name\":\"m\",\"adapters\":[7]}]"},
    {"models", "[7]"},
    {"models", "7"},
};

// Guards against a sound server that is taken off the list by an entry of another writer, and against one that is
// offered although nobody can reach it.
TEST_CASE("a heartbeat with a value out of range is refused, and the server at its address stays")
{
    Deployment deployment;
    const auto &server = deployment.addServer("p1", "plain", answerInFull);
    auto &later = deployment.addServer("p2", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        for (const auto &field : OddHeartbeatFields) {
            auto beat = heartbeatAt(server.address());
            const auto body = withField(std::move(beat), field);
            const auto status = co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/odd", body);
            CAPTURE(std::string(field.name));
            CAPTURE(std::string(field.value));
            CHECK(status == 400);
        }
        // The answers of both servers show that they are still offered.
        co_await deployment.restartControl();
        co_await deployment.sleepFor(milliseconds(500));
        co_await deployment.sendHeartbeat(server);
        co_await deployment.sendHeartbeat(later);
        for (int i = 0; i < 30; ++i) {
            const auto response = co_await deployment.call("POST", "/once/x", "call" + std::to_string(i));
            CHECK(response.status == 200);
        }
        CHECK(server.requests.size() > 0);
        CHECK(later.requests.size() > 0);
    });
}

// Guards against orders and routes that follow a report whose numbers were read as other numbers.
TEST_CASE("a state report with a value out of range is not read")
{
    CHECK(readReport(stateReport().dump()).has_value());
    constexpr OddField OddFields[] = {
        {"seq", "-1"},
        {"seq", "1e300"},
        {"seq", "18446744073709551615"},
        {"seq", "1.5"},
        {"born", "-1"},
        {"born", "1e300"},
        {"queued", "1e300"},
        {"queued", "4294967297"},
        {"active", "-1e300"},
        {"busy", "1"},
        {"models", "[[]]"},
        {"models", "{\"a\":1}"},
        {"pending", "7"},
        {"models", "[{\"name\":\"m\",\"adapters\":[\"a1@1e300\"]}]"},
        {"pending", "[\"m/a1@99999999999999999999\"]"},
    };
    for (const auto &field : OddFields) {
        CAPTURE(std::string(field.name));
        CAPTURE(std::string(field.value));
        CHECK_FALSE(readReport(withField(stateReport(), field)).has_value());
    }
}

// Guards against a version that no server can ever have, so that all requests for the adapter wait in vain.
TEST_CASE("a weight version that is no whole number or out of range is refused")
{
    constexpr OddField OddFields[] = {
        {"version", "-1"},  {"version", "1e300"},   {"version", "18446744073709551615"},
        {"version", "1.5"}, {"version", "0"},       {"version", "99999999999999999999999999"},
        {"adapter", "7"},   {"adapter", "[]"},      {"model", "\"\""},
        {"model", "[]"},    {"model", "\"a\\nb\""},
    };
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        const json valid{{"model", "m"}, {"adapter", "a1"}, {"version", 2}};
        for (const auto &field : OddFields) {
            const auto body = withField(valid, field);
            const auto status = co_await deployment.callControl("POST", "/v1/version-put", body);
            CAPTURE(std::string(field.name));
            CAPTURE(std::string(field.value));
            CHECK(status == 400);
        }
        const auto accepted = co_await deployment.callControl("POST", "/v1/version-put", valid.dump());
        CHECK(accepted == 200);
    });
}

// Guards against a configuration that is in force with other numbers than those that the operator sent.
TEST_CASE("a configuration with a number out of range cannot be read")
{
    const json route{{"name", "r"},         {"host", "h.example"}, {"pathPrefix", "/a/"},
                     {"type", "streaming"}, {"timeoutMs", 5000},   {"service", "s"}};
    const json engine{{"slots", 8}, {"models", {{{"name", "m"}, {"loadS", 1.9}}}}};
    const auto document = [](const std::string &routeText, const std::string &engineText,
                             const std::string &limits = "{}", const std::string &version = "7") {
        return R"({"version":)" + version + R"(,"routes":[)" + routeText + R"(],"services":[{"name":"s","engine":)"
            + engineText + R"(}],"limits":)" + limits + '}';
    };
    const auto refused = [](const std::string &text) {
        const auto read = platform::readConfiguration(text);
        return read.has_error() || read.value().validationError().has_value();
    };
    CHECK_FALSE(refused(document(route.dump(), engine.dump())));
    constexpr OddField OddRouteFields[] = {
        {"timeoutMs", "1e300"},
        {"timeoutMs", "9223372036854775807"},
        {"timeoutMs", "-1"},
        {"timeoutMs", "99999999999999999999"},
        {"goalMs", "1e300"},
        {"gapGoalMs", "-1e300"},
        {"attempts", "1e300"},
        {"attempts", "4294967297"},
        {"priority", "1e300"},
        {"split", "[{\"service\":\"s\",\"weight\":-1}]"},
        {"split", "[{\"service\":\"s\",\"weight\":1e300}]"},
        {"split", "7"},
        {"resumable", "1"},
    };
    for (const auto &field : OddRouteFields) {
        CAPTURE(std::string(field.name));
        CAPTURE(std::string(field.value));
        CHECK(refused(document(withField(route, field), engine.dump())));
    }
    constexpr OddField OddEngineFields[] = {
        {"slots", "1e300"},
        {"adapterSlots", "-1e300"},
        {"models", "[{\"name\":\"m\",\"loadS\":1e300}]"},
        {"models", "7"},
    };
    for (const auto &field : OddEngineFields) {
        CAPTURE(std::string(field.name));
        CAPTURE(std::string(field.value));
        CHECK(refused(document(route.dump(), withField(engine, field))));
    }
    for (const auto *limits : {R"({"maxHeaderBytes":-1})", R"({"maxBodyBytes":1e300})", R"({"idleTimeoutMs":1e300})",
                               R"({"headerTimeoutMs":9223372036854775807})"}) {
        CAPTURE(std::string(limits));
        CHECK(refused(document(route.dump(), engine.dump(), limits)));
    }
    for (const auto *version : {"-1", "1e300", "1.5", "99999999999999999999"}) {
        CAPTURE(std::string(version));
        CHECK(refused(document(route.dump(), engine.dump(), "{}", version)));
    }
}
