#include "platform/CallerCodec.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ServerCodec.h"

#include <doctest/doctest.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace tamarackcove;
using nlohmann::json;

static json document()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"h.example","pathPrefix":"/a/","type":"streaming","timeoutMs":5000,"goalMs":800,"priority":0,
         "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2,"sticky":true,
         "resumable":true,"gapGoalMs":600},
        {"name":"r2","host":"h.example","pathPrefix":"/b/","type":"non_idempotent","timeoutMs":800,"service":"s2"}],
        "services":[{"name":"s1","healthPath":"/healthz","maxConns":200,"engine":{"slots":24,"models":[
            {"name":"m","weightsMb":65.5,"loadS":1.9,"adapters":3000,"adapterMb":12.0,"warmS":0.6,"diskS":0.78}],
            "weightsMb":666.0,"adapterSlots":13,"loadsPerS":6.8,"kvCapacity":174805}},{"name":"s2"}],
        "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
}

TEST_CASE("a configuration is parsed into routes, services and limits")
{
    const auto read = platform::readConfiguration(document().dump());
    REQUIRE(read.has_value());
    const auto &configuration = read.value();
    CHECK_FALSE(configuration.validationError().has_value());
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 2);
    CHECK(configuration.routes[0].kind == RequestKind::Stream);
    CHECK(configuration.routes[0].repeatable());
    CHECK(configuration.routes[0].services.size() == 2);
    CHECK(configuration.routes[0].eventGapGoal == milliseconds(600));
    CHECK(configuration.routes[1].kind == RequestKind::NotRepeatable);
    CHECK_FALSE(configuration.routes[1].repeatable());
    REQUIRE(configuration.services[0].engine.has_value());
    CHECK(configuration.services[0].engine->adapterSlots == 13);
    CHECK(configuration.services[0].engine->requestMemoryTokens == 174805);
    CHECK(configuration.services[0].engine->models[0].storeLoadTime == milliseconds(1900));
    CHECK(configuration.limits.idleTimeout == milliseconds(15000));
}

TEST_CASE("a configuration that is truncated or lacks a required field is refused")
{
    const auto complete = document().dump();
    for (std::size_t length = 0; length < complete.size(); length += 7) {
        CHECK(platform::readConfiguration(complete.substr(0, length)).has_error());
    }
    for (const auto *field : {"host", "pathPrefix", "type", "timeoutMs"}) {
        auto incomplete = document();
        incomplete["routes"][1].erase(field);
        CHECK(platform::readConfiguration(incomplete.dump()).has_error());
    }
}

TEST_CASE("workspaces are parsed with their keys, priority and allowance")
{
    auto withWorkspaces = document();
    withWorkspaces["routes"][1]["public"] = true;
    withWorkspaces["tenants"] = json::parse(R"([
        {"name":"w1","apiKeys":["k1","k2"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":405571,"burst":1000},
        {"name":"w2","apiKeys":["k3"],"ratePerS":0,"burst":0}])");
    const auto read = platform::readConfiguration(withWorkspaces.dump());
    REQUIRE(read.has_value());
    CHECK_FALSE(read.value().routes[0].isPublic);
    CHECK(read.value().routes[1].isPublic);
    REQUIRE(read.value().workspaces.size() == 2);
    const auto &first = read.value().workspaces[0];
    CHECK(first.name == WorkspaceName("w1"));
    CHECK(first.keys == std::vector<std::string>{"k1", "k2"});
    CHECK(first.priority == 1);
    REQUIRE(first.allowance.has_value());
    CHECK(first.allowance->unit == WorkspaceAllowance::Unit::Tokens);
    CHECK(first.allowance->ratePerSecond == 405571);
    CHECK(first.allowance->burst == 1000);
    CHECK(first.allowance->plainRequestTokens == 200);
    CHECK_FALSE(read.value().workspaces[1].priority.has_value());
    CHECK_FALSE(read.value().workspaces[1].allowance.has_value());
}

static json heartbeat()
{
    return json::parse(R"({"service":"s1","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":24,"state":"ready",
        "coldLeftMs":0,"born":1785776627475,"stage":"mixed","models":[{"name":"m","version":1,
        "adapters":["a3@2","a4"]}],"seq":4})");
}

TEST_CASE("a heartbeat is parsed with its models and adapter versions")
{
    const auto read = platform::readHeartbeat("i-1", heartbeat().dump());
    REQUIRE(read.has_value());
    CHECK(read.value().identity.startedAt == Incarnation(1785776627475));
    CHECK(read.value().sequence == 4);
    REQUIRE(read.value().models[0].adapters.size() == 2);
    CHECK(read.value().models[0].adapters[0].adapter == "a3");
    CHECK(read.value().models[0].adapters[0].version == 2);
    CHECK(read.value().models[0].adapters[1].version == 1);
}

TEST_CASE("a heartbeat with a missing or invalid field is refused")
{
    auto invalid = heartbeat();
    SUBCASE("no address")
    {
        invalid.erase("addr");
    }
    SUBCASE("an invalid address")
    {
        invalid["addr"] = "nowhere";
    }
    SUBCASE("an unknown state")
    {
        invalid["state"] = "resting";
    }
    SUBCASE("slots of the wrong type")
    {
        invalid["slots"] = "many";
    }
    SUBCASE("a service name of the wrong type")
    {
        invalid["service"] = 5;
    }
    CHECK(platform::readHeartbeat("i-1", invalid.dump()).has_error());
    CHECK(platform::readHeartbeat("i-1", "\x01\xff").has_error());
}

TEST_CASE("an order request holds the server, the holder and the expected number of accepted orders")
{
    ServerOrder order;
    order.action = ServerOrder::Action::Load;
    order.server = {.id = TargetId("i-1"), .startedAt = Incarnation(1)};
    order.endpoint = {.host = "10.0.0.9", .port = 80};
    order.weights = {BaseModel("m"), "a3"};
    order.version = 2;
    order.expectedAcceptedOrders = 5;
    order.holder = "c1";
    order.fence = FencingNumber(41);
    const auto request = platform::engineDialect().orderRequest(order);
    CHECK(request.headers.find("Tamarackcove-Expect-Instance") == "i-1");
    CHECK(json::parse(request.body)
          == json::parse(
              R"({"op":"load","model":"m","adapter":"a3","version":2,"expected":5,"holder":"c1","fence":41})"));
}

TEST_CASE("a forwarded request has the headers that the system sets, and no reserved header of the caller")
{
    const auto dialect = platform::callerDialect();
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/b?c=d";
    request.body = std::string("\0\xff", 2);
    request.headers = {{"Host", "h.example"},
                       {"Tamarackcove-Attempt-Id", "x1"},
                       {"Tamarackcove-Model", "m/a3"},
                       {"Tamarackcove-Hold", "h"},
                       {"Tamarackcove-Pin-Ms", "4000"},
                       {"Tamarackcove-Kv-Backup", "10.0.0.1:1"},
                       {"Kv-From", "10.0.0.1:1/2"},
                       {"Tamarackcove-Deadline-Ms", "5000"},
                       {"Other", "kept"},
                       {"Tamarackcove-Token-Usage", "1460,80"}};
    const auto caller = dialect.readRequest(request);
    CHECK(caller.attemptId == "x1");
    CHECK(caller.callerTimeout == milliseconds(5000));
    CHECK(caller.adapter == AdapterKey{BaseModel("m"), "a3"});
    CHECK(caller.promptTokens == 1460);
    CHECK(caller.maxOutputTokens == 80);
    CHECK(caller.promptParts.empty());
    Dispatch dispatch;
    dispatch.server.id = TargetId("i-1");
    dispatch.timeLeft = milliseconds(4321);
    dispatch.minVersion = 3;
    dispatch.lastEventId = "12";
    const auto forwarded = dialect.serverRequest(request, dispatch);
    CHECK(forwarded.target == request.target);
    // The entry sends the body of the caller's request itself: a copy here would be held as long as the request runs.
    CHECK(forwarded.body.empty());
    CHECK(forwarded.headers.find("Tamarackcove-Deadline-Ms") == "4321");
    CHECK(forwarded.headers.find("Tamarackcove-Expect-Instance") == "i-1");
    CHECK(forwarded.headers.find("Tamarackcove-Expect-Version") == "3");
    CHECK(forwarded.headers.find("Last-Event-Id") == "12");
    CHECK(forwarded.headers.find("Other") == "kept");
    for (const auto *reserved : {"Tamarackcove-Hold", "Tamarackcove-Pin-Ms", "Tamarackcove-Kv-Backup", "Kv-From"}) {
        CHECK_FALSE(forwarded.headers.find(reserved).has_value());
    }
}

TEST_CASE("an answer is authentic only with the id of the request and the seal of a server")
{
    const auto dialect = platform::callerDialect();
    CallerRequest caller;
    caller.attemptId = "x1";
    HttpResponse head;
    head.headers = {{"Tamarackcove-Attempt-Id", "x1"}, {"Tamarackcove-Server-Seal", "s"}};
    CHECK(dialect.readAnswer(caller, head).authentic);
    head.headers.set("Tamarackcove-Attempt-Id", "x2");
    head.headers.set("Tamarackcove-Not-Executed", "1");
    CHECK_FALSE(dialect.readAnswer(caller, head).authentic);
    CHECK_FALSE(dialect.readAnswer(caller, head).notRun);
    head.headers = {{"Tamarackcove-Attempt-Id", "x1"}};
    CHECK_FALSE(dialect.readAnswer(caller, head).authentic);
    head.headers.set("Tamarackcove-Not-Executed", "1");
    CHECK(dialect.readAnswer(caller, head).notRun);
    head = {
        .status = 421, .headers = {{"Tamarackcove-Attempt-Id", "x1"}, {"Tamarackcove-Instance-Id", "i-2"}}, .body = {}};
    CHECK(dialect.readAnswer(caller, head).server == TargetId("i-2"));
    CHECK(dialect.readAnswer(caller, head).notRun);
    CHECK(dialect.readAnswer(caller, head).wrongServer);
}

// Guards against a request that is answered "not run", or sent to another server, because of a refusal that a server
// wrote for an earlier request on the connection.
TEST_CASE("a refusal without the id of the request does not prove that the request has not run")
{
    const auto dialect = platform::callerDialect();
    CallerRequest caller;
    caller.attemptId = "x1";
    HttpResponse head{.status = 503, .headers = {{"Tamarackcove-Not-Executed", "1"}}, .body = {}};
    CHECK_FALSE(dialect.readAnswer(caller, head).notRun);
    head = {.status = 421, .headers = {{"Tamarackcove-Instance-Id", "i-2"}}, .body = {}};
    CHECK_FALSE(dialect.readAnswer(caller, head).notRun);
    CHECK_FALSE(dialect.readAnswer(caller, head).wrongServer);
    // A request without an id is refused without one.
    caller.attemptId = "";
    CHECK(dialect.readAnswer(caller, head).notRun);
}

// Guards against a time of absurd length or form that keeps a server without requests, or that is not obeyed at all.
TEST_CASE("an answer tells that its server is leaving, and how long it wants no requests")
{
    const auto dialect = platform::callerDialect();
    CallerRequest caller;
    caller.attemptId = "x1";
    HttpResponse head{.status = 503, .headers = {{"Tamarackcove-Attempt-Id", "x1"}}, .body = {}};
    CHECK_FALSE(dialect.readAnswer(caller, head).leaving);
    CHECK_FALSE(dialect.readAnswer(caller, head).retryAfter.has_value());
    head.headers.set("Server-Leaving", "1");
    CHECK(dialect.readAnswer(caller, head).leaving);
    const auto retryAfter = [&](std::string_view value) {
        head.headers.set("Retry-After", value);
        return dialect.readAnswer(caller, head).retryAfter;
    };
    CHECK(retryAfter("2") == milliseconds(2000));
    CHECK(retryAfter("0.25") == milliseconds(250));
    CHECK(retryAfter("0") == milliseconds(0));
    CHECK(retryAfter("1e300") == std::chrono::hours(24));
    CHECK(retryAfter("1e999") == std::chrono::hours(24));
    for (const auto *invalid : {"", "-1", "nan", "2 s", "Sat, 05 Dec 2026 00:00:00 GMT", "1, 2"}) {
        CAPTURE(invalid);
        CHECK_FALSE(retryAfter(invalid).has_value());
    }
    head.headers.set("Retry-After", "2");
    head.status = 200;
    CHECK_FALSE(dialect.readAnswer(caller, head).retryAfter.has_value());
    // The late answer to another request says nothing.
    head.status = 503;
    head.headers.set("Tamarackcove-Attempt-Id", "x2");
    CHECK_FALSE(dialect.readAnswer(caller, head).leaving);
    CHECK_FALSE(dialect.readAnswer(caller, head).retryAfter.has_value());
}

TEST_CASE("a request that may have run is never refused with a status that says it has not run")
{
    const auto dialect = platform::callerDialect();
    CHECK(dialect.refuse({}, EntryRefusal::OutcomeUnknown, milliseconds(0)).status == 502);
    CHECK(dialect.refuse({}, EntryRefusal::TimedOut, milliseconds(0)).status == 504);
    const auto refused = dialect.refuse({}, EntryRefusal::NoServer, milliseconds(300));
    CHECK(refused.status == 503);
    CHECK(refused.headers.find("Retry-After") == "0.30");
    CHECK(dialect.refuse({}, EntryRefusal::NotReady, milliseconds(300)).status == 503);
    const auto overAllowance = dialect.refuse({}, EntryRefusal::OverAllowance, milliseconds(450));
    CHECK(overAllowance.status == 429);
    CHECK(overAllowance.headers.find("Retry-After") == "0.45");
    const auto stopping = dialect.refuse({}, EntryRefusal::Stopping, milliseconds(0));
    CHECK(stopping.status == 503);
    CHECK(stopping.headers.find("Retry-After") == "0.00");
    CHECK(dialect.refuse({}, EntryRefusal::NoRoute, milliseconds(0)).status == 404);
}

// Guards against a request that lowers the load of a server, or makes it count as full, by an odd statement.
TEST_CASE("the tokens that a request states are read, and odd statements count as none")
{
    const auto read = [](const std::string &usage, const std::string &hint) {
        HttpRequest request;
        request.headers.set("Tamarackcove-Token-Usage", usage);
        request.headers.set("Tamarackcove-Length-Hint", hint);
        const auto caller = platform::callerDialect().readRequest(request);
        return std::vector{caller.promptTokens, caller.maxOutputTokens, caller.expectedOutputTokens};
    };
    CHECK(read("646,200", "120") == std::vector{646, 200, 120});
    CHECK(read("646, 200", "") == std::vector{646, 200, 0});
    CHECK(read("646", "x") == std::vector{646, 0, 0});
    CHECK(read("", "-7") == std::vector{0, 0, 0});
    CHECK(read("-646,-200", "99999999999999") == std::vector{0, 0, 0});
}

// Guards against requests that cost nothing, or give units to their workspace, because they state their tokens badly.
TEST_CASE("the tokens of a request are never negative, and numbers that are too long count as the largest")
{
    const auto dialect = platform::callerDialect();
    const auto tokens = [&](const std::string &usage) {
        HttpRequest request;
        request.headers = {{"Tamarackcove-Token-Usage", usage}};
        const auto caller = dialect.readRequest(request);
        return std::pair(caller.promptTokens, caller.maxOutputTokens);
    };
    CHECK(tokens("10, 20") == std::pair(10, 20));
    CHECK(tokens("10") == std::pair(10, 0));
    CHECK(tokens("-5,x") == std::pair(0, 0));
    CHECK(tokens("") == std::pair(0, 0));
    CHECK(tokens("99999999999,1") == std::pair(std::numeric_limits<int>::max(), 1));
    const WorkspaceAllowance allowance{
        .unit = WorkspaceAllowance::Unit::Tokens, .ratePerSecond = 1, .burst = 1, .plainRequestTokens = 7};
    CHECK(allowance.costOf(10, 20) == doctest::Approx(30));
    CHECK(allowance.costOf(0, 0) == doctest::Approx(7));
    CHECK(WorkspaceAllowance{}.costOf(10, 20) == doctest::Approx(1));
}

// Guards against blaming the wrong part of a prompt, and against a list that takes a process down.
TEST_CASE("the parts of a prompt are read, and malformed ones are passed over")
{
    const auto parts = [](const std::string &list) {
        HttpRequest request;
        request.headers.set("Tamarackcove-Prompt-Prefix", list);
        return platform::callerDialect().readRequest(request).promptParts;
    };
    CHECK(parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250")
          == std::vector{CrashSuspect("5c1e07a2"), CrashSuspect("91bd3f06"), CrashSuspect("e4402b7d")});
    CHECK(parts("").empty());
    CHECK(parts(",:,,:5,").empty());
    CHECK(parts("a,b:x") == std::vector{CrashSuspect("a"), CrashSuspect("b")});
    CHECK(parts(std::string(100000, 'x') + ":1").empty());
    std::string many;
    for (int i = 0; i < 10000; ++i) {
        many += std::to_string(i) + ":1,";
    }
    CHECK(parts(many).size() == 32);
}
