#include "StandInServer.h"
#include "platform/CallerCodec.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ControlCalls.h"
#include "platform/ServerCodec.h"
#include "tamarackcove/Control/Fleet/FleetNode.h"
#include "tamarackcove/Gateway/GatewayNode.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Operator/RequestExplanation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <optional>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sstream>
#include <unistd.h>

namespace asio = boost::asio;
using namespace tamarackcove;
using nlohmann::json;
using test::StandInServer;

static constexpr milliseconds CallTimeout{5000};
/// Time limit for the run of one deployment. It is generous because it only detects a hang.
static constexpr seconds RunTimeout{20};

static HttpResponse sealedResponse(const HttpRequest &request, int status)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Tamarackcove-Attempt-Id", request.headers.find("Tamarackcove-Attempt-Id").value_or(""));
    response.headers.set("Tamarackcove-Server-Seal", "seal");
    return response;
}

/// Sends the events that follow the one named in the request, up to event `upTo`. Breaks the stream off inside the next
/// event unless `upTo` is the last one of `all`.
static asio::awaitable<void> sendEvents(const HttpRequest &request, HttpResponder &responder, int upTo, int all)
{
    auto head = sealedResponse(request, 200);
    head.headers.set("Content-Type", "text/event-stream");
    (void)co_await responder.beginStream(std::move(head));
    int next = 1;
    if (const auto last = request.headers.find("Last-Event-Id")) {
        next = std::stoi(std::string(*last)) + 1;
    }
    for (; next <= upTo; ++next) {
        const auto event = "id: " + std::to_string(next) + "\ndata: x\n\n";
        (void)co_await responder.writePiece(event);
    }
    if (upTo == all) {
        (void)co_await responder.endStream();
    } else {
        (void)co_await responder.writePiece("id: torn");
    }
}

static asio::awaitable<void> refuseWithoutRunning(const HttpRequest &request, HttpResponder &responder)
{
    auto response = sealedResponse(request, 503);
    response.headers.set("Tamarackcove-Not-Executed", "1");
    (void)co_await responder.send(std::move(response));
}

/// A control host, an entry and servers in one process. Sets the configuration as an operator does.
class Deployment
{
public:
    Deployment()
        : m_folder(std::filesystem::temp_directory_path() / ("tamarackcove-path-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(m_folder);
    }
    ~Deployment()
    {
        std::filesystem::remove_all(m_folder);
    }
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    StandInServer &addServer(const std::string &id, const std::string &service, StandInServer::Behaviour behaviour)
    {
        m_servers.push_back({std::make_unique<StandInServer>(m_io.get_executor(), id, std::move(behaviour)), service});
        return *m_servers.back().server;
    }

    /// Starts all nodes, runs the body once the entry is ready and has the servers, and stops all nodes.
    void run(std::function<asio::awaitable<void>()> body)
    {
        static const bool LogsSetUp = [] {
            initLogging("whole-path", LogLevel::Error);
            return true;
        }();
        REQUIRE(LogsSetUp);
        bool finished = false;
        asio::co_spawn(m_io, runNodes(std::move(body)), [&](const std::exception_ptr &error) {
            finished = !error;
            m_io.stop();
        });
        m_io.run_for(RunTimeout);
        CHECK_MESSAGE(finished, "the deployment did not finish within RunTimeout");
    }

    /// Sends a configuration of a higher version that is longer than this, and returns the answer.
    asio::awaitable<HttpResponse> putLongConfiguration(std::size_t bytes)
    {
        auto document = configuration();
        document["version"] = 8;
        document["note"] = std::string(bytes, 'x');
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/Config.Replace";
        request.body = document.dump();
        Endpoint host{.host = "127.0.0.1", .port = m_control->apiPort()};
        auto response = co_await httpExchange(std::move(host), std::move(request), CallTimeout);
        HttpResponse failed;
        failed.status = 0;
        co_return response.has_value() ? std::move(response).value() : failed;
    }

    asio::awaitable<HttpResponse> call(std::string method, std::string path, std::string id, std::string adapter = {},
                                       milliseconds deadline = milliseconds(4000))
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(path);
        request.headers = {{"Host", "h.example"},
                           {"Tamarackcove-Attempt-Id", id},
                           {"Tamarackcove-Deadline-Ms", std::to_string(deadline.count())}};
        if (!adapter.empty()) {
            request.headers.set("Tamarackcove-Model", "m/" + adapter);
        }
        Endpoint entry{.host = "127.0.0.1", .port = m_entry->callerPort()};
        auto response = co_await httpExchange(std::move(entry), std::move(request), CallTimeout);
        HttpResponse failed;
        failed.status = 0;
        co_return response.has_value() ? std::move(response).value() : failed;
    }

    asio::awaitable<void> sleepFor(milliseconds time)
    {
        asio::steady_timer timer(m_io, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /// The metrics of the entry and of the control host.
    asio::awaitable<std::pair<std::string, std::string>> metrics()
    {
        auto entry = co_await metricsAt(m_entry->metricsPort());
        auto control = co_await metricsAt(m_control->metricsPort());
        co_return std::pair(std::move(entry), std::move(control));
    }

private:
    static asio::awaitable<std::string> metricsAt(std::uint16_t port)
    {
        HttpRequest request;
        request.target = "/metrics";
        Endpoint endpoint{.host = "127.0.0.1", .port = port};
        const auto response = co_await httpExchange(std::move(endpoint), std::move(request), CallTimeout);
        co_return response.has_value() ? response.value().body : std::string();
    }

    struct Member
    {
        std::unique_ptr<StandInServer> server;
        std::string service;
    };

    static json configuration()
    {
        const auto route = [](const char *path, const char *type, const char *service, int attempts, bool resumable) {
            return json{{"name", path},         {"host", "h.example"}, {"pathPrefix", path},    {"type", type},
                        {"timeoutMs", 4000},    {"goalMs", 1000},      {"gapGoalMs", 600},      {"service", service},
                        {"attempts", attempts}, {"priority", 0},       {"resumable", resumable}};
        };
        const json engine{{"slots", 8},
                          {"adapterSlots", 4},
                          {"weightsMb", 1000},
                          {"loadsPerS", 3},
                          {"models", {{{"name", "m"}, {"weightsMb", 900}, {"adapterMb", 1}, {"loadS", 1}}}}};
        return {
            {"version", 7},
            {"routes",
             {route("/once/", "non_idempotent", "plain", 1, false), route("/again/", "idempotent", "plain", 2, false),
              route("/stream/", "streaming", "engines", 2, true)}},
            {"services", {{{"name", "plain"}}, {{"name", "engines"}, {"engine", engine}}}}};
    }

    asio::awaitable<int> callControl(std::string method, std::string path, std::string body)
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(path);
        request.body = std::move(body);
        Endpoint host{.host = "127.0.0.1", .port = m_control->apiPort()};
        const auto response = co_await httpExchange(std::move(host), std::move(request), CallTimeout);
        co_return response.has_value() ? response.value().status : 0;
    }

    asio::awaitable<void> runNodes(std::function<asio::awaitable<void>()> body)
    {
        FleetControlSettings controlSettings;
        controlSettings.name = "c1";
        controlSettings.host = "127.0.0.1";
        controlSettings.listen = {.host = "127.0.0.1", .port = 0};
        controlSettings.metricsListen = Endpoint{.host = "127.0.0.1", .port = 0};
        controlSettings.seeds = {"127.0.0.1"};
        controlSettings.firstStart = true;
        controlSettings.dataFolder = m_folder;
        FleetNode::Hooks hooks;
        hooks.readConfiguration = platform::readConfiguration;
        hooks.dialect = platform::engineDialect();
        hooks.frontEnd = platform::controlCalls;
        hooks.onFatal = [](std::string_view, std::string_view) {
        };
        m_control = std::make_unique<FleetNode>(m_io.get_executor(), controlSettings, std::move(hooks));
        REQUIRE(m_control->open().has_value());
        m_control->start();
        GatewaySettings entrySettings;
        entrySettings.name = "e1";
        entrySettings.zone = Zone("z");
        entrySettings.listen = {.host = "127.0.0.1", .port = 0};
        entrySettings.readyListen = {.host = "127.0.0.1", .port = 0};
        entrySettings.metricsListen = Endpoint{.host = "127.0.0.1", .port = 0};
        entrySettings.controlPort = m_control->entryPort();
        entrySettings.seeds = {"127.0.0.1"};
        entrySettings.retrySlack = 50;
        m_entry = std::make_unique<GatewayNode>(m_io.get_executor(), entrySettings, platform::callerDialect());
        REQUIRE(m_entry->open().has_value());
        m_entry->start();
        for (const auto &member : m_servers) {
            member.server->start();
        }
        const auto before = co_await call("GET", "/again/x", "early");
        CHECK(before.status == 503);
        const auto document = configuration().dump();
        while (co_await callControl("POST", "/v1/Config.Replace", document) != 200) {
            co_await sleepFor(milliseconds(20));
        }
        for (const auto &member : m_servers) {
            const auto beat = member.server->heartbeat(member.service).dump();
            const auto status = co_await callControl("POST", "/v1/Instances.Heartbeat/" + member.server->id(), beat);
            CHECK(status == 200);
        }
        for (;;) {
            // The entry answers 200 once it has the configuration and the servers.
            const auto response = co_await call("GET", "/again/ready", "probe");
            if (response.status == 200) {
                break;
            }
            co_await sleepFor(milliseconds(20));
        }
        co_await body();
        co_await m_entry->shutDown();
        co_await m_control->shutDown();
        for (const auto &member : m_servers) {
            co_await member.server->stop();
        }
    }

    asio::io_context m_io{1};
    std::filesystem::path m_folder;
    std::vector<Member> m_servers;
    std::unique_ptr<FleetNode> m_control;
    std::unique_ptr<GatewayNode> m_entry;
};

static asio::awaitable<void> answerInFull(const HttpRequest &request, HttpResponder &responder)
{
    auto response = sealedResponse(request, 200);
    response.body = "whole";
    (void)co_await responder.send(std::move(response));
}

/// Sends a body until the entry or control host closes the connection, and adds the bytes to `sentBytes`. Gives up
/// after MaxSentBytes or MaxSendTime, so that the test ends if nobody closes the connection.
static asio::awaitable<void> sendWithoutEnd(HttpResponse head, HttpResponder &responder, std::string piece,
                                            std::size_t &sentBytes)
{
    constexpr std::size_t MaxSentBytes = 256 * 1024 * 1024;
    constexpr seconds MaxSendTime{8};
    const auto startTime = Clock::now();
    auto written = co_await responder.beginStream(std::move(head));
    while (written.has_value() && sentBytes < MaxSentBytes && Clock::now() - startTime < MaxSendTime) {
        written = co_await responder.writePiece(piece);
        sentBytes += piece.size();
        // Lets the other tasks of this thread run also while the kernel accepts all bytes.
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    }
}

/// What the sockets on both sides of a loopback connection hold at most beyond what the reader has read.
static constexpr std::size_t MaxKernelBytes = 12 * 1024 * 1024;

static int requestCount(const StandInServer &server, const std::string &id)
{
    return static_cast<int>(std::count_if(server.requests.begin(), server.requests.end(), [&](const auto &request) {
        return request.headers.find("Tamarackcove-Attempt-Id") == id;
    }));
}

TEST_CASE("an adapter is loaded on demand, and a stream that breaks off is resumed on another server")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    StandInServer::Behaviour breaksStreamOff = [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, request.headers.find("Last-Event-Id") ? 6 : 3, 6);
    };
    auto &first = deployment.addServer("s1", "engines", breaksStreamOff);
    auto &second = deployment.addServer("s2", "engines", breaksStreamOff);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "r1", "a5");
        CHECK(response.status == 200);
        CHECK(response.headers.find("Tamarackcove-Server-Seal") == "seal");
        std::string expected;
        for (int i = 1; i <= 6; ++i) {
            expected += "id: " + std::to_string(i) + "\ndata: x\n\n";
        }
        CHECK(response.body == expected);
        CHECK(first.adapters.contains("a5"));
        CHECK(second.adapters.contains("a5"));
        CHECK(requestCount(first, "r1") == 1);
        CHECK(requestCount(second, "r1") == 1);
    });
}

// Guards against a stream that is cut because its server paused, when no other server could take it over.
TEST_CASE("a stream whose server pauses is answered in full if no other server can take it over")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    StandInServer::Behaviour pauses
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece("id: 1\ndata: x\n\n");
        // Longer than twice the longest gap between events that the route allows.
        asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(1500));
        co_await timer.async_wait(asio::use_awaitable);
        (void)co_await responder.writePiece("id: 2\ndata: x\n\n");
        (void)co_await responder.endStream();
    };
    auto &only = deployment.addServer("s1", "engines", pauses);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "paused", "a1");
        CHECK(response.status == 200);
        CHECK(response.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        CHECK(requestCount(only, "paused") == 1);
    });
}

// Guards against a stream that is cut because its server paused and the entry tried to move it to a server that it
// knew to be unreachable.
TEST_CASE("a stream whose server pauses is not moved to an unreachable server")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    StandInServer::Behaviour pausesOrAnswers
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "paused") {
            co_await sendEvents(request, responder, 2, 2);
            co_return;
        }
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece("id: 1\ndata: x\n\n");
        // Longer than twice the longest gap between events that the route allows.
        asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(1500));
        co_await timer.async_wait(asio::use_awaitable);
        (void)co_await responder.writePiece("id: 2\ndata: x\n\n");
        (void)co_await responder.endStream();
    };
    auto &running = deployment.addServer("s1", "engines", pausesOrAnswers);
    auto &stopped = deployment.addServer("s2", "engines", pausesOrAnswers);
    deployment.run([&]() -> asio::awaitable<void> {
        stopped.close();
        // The entry finds the stopped server unreachable four times, and then avoids it for three seconds.
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const auto until = Clock::now() + milliseconds(3200);
        for (int number = 0; Clock::now() < until; ++number) {
            const auto other = co_await deployment.call("POST", "/stream/x", "other-" + std::to_string(number));
            CHECK(other.status == 200);
            timer.expires_after(milliseconds(20));
            co_await timer.async_wait(asio::use_awaitable);
        }
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        CHECK(requestCount(running, "paused") == 1);
    });
}

TEST_CASE("a not repeatable request is sent to another server only if the first one has not run it")
{
    Deployment deployment;
    int broken = 0;
    StandInServer::Behaviour losesAnswer
        = [&broken](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        if (id == "lost") {
            ++broken;
            // Sends the head of the answer only and closes the connection, after the request has run.
            auto head = sealedResponse(request, 200);
            (void)co_await responder.beginStream(std::move(head));
            co_return;
        }
        if (id == "full" && ++broken == 1) {
            co_await refuseWithoutRunning(request, responder);
            co_return;
        }
        co_await answerInFull(request, responder);
    };
    auto &first = deployment.addServer("p1", "plain", losesAnswer);
    auto &second = deployment.addServer("p2", "plain", losesAnswer);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto lost = co_await deployment.call("POST", "/once/x", "lost");
        CHECK(lost.status == 502);
        CHECK(broken == 1);
        CHECK(requestCount(first, "lost") + requestCount(second, "lost") == 1);
        broken = 0;
        const auto moved = co_await deployment.call("POST", "/once/x", "full");
        CHECK(moved.status == 200);
        CHECK(moved.body == "whole");
        const auto none = co_await deployment.call("GET", "/nowhere/x", "none");
        CHECK(none.status == 404);
    });
}

TEST_CASE("a late answer to another request is not passed on as the answer to this one")
{
    Deployment deployment;
    StandInServer::Behaviour answersWithOtherId
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        // The answer has the id of another request, like a late answer to an earlier request.
        HttpRequest other = request;
        if (request.headers.find("Tamarackcove-Attempt-Id") == "mixed") {
            other.headers.set("Tamarackcove-Attempt-Id", "older");
        }
        co_await answerInFull(other, responder);
    };
    auto &server = deployment.addServer("p1", "plain", answersWithOtherId);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto mixed = co_await deployment.call("POST", "/once/x", "mixed");
        CHECK(mixed.status == 502);
        CHECK(requestCount(server, "mixed") == 1);
        const auto clean = co_await deployment.call("POST", "/once/x", "clean");
        CHECK(clean.status == 200);
    });
}

// Guards against a refusal that asks for a retry which can never succeed.
TEST_CASE("a configuration that is too long for the log is refused for good, with its size and the limit")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto refused = co_await deployment.putLongConfiguration(600 * 1024);
        CHECK(refused.status == 413);
        CHECK(refused.body.find("524288") != std::string::npos);
        const auto accepted = co_await deployment.putLongConfiguration(500 * 1024);
        CHECK(accepted.status == 200);
    });
}

/// Captures all log lines of this process during its lifetime.
class LogCapture
{
public:
    LogCapture()
        : m_before(spdlog::default_logger())
    {
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(m_text);
        auto logger = std::make_shared<spdlog::logger>("capture", std::move(sink));
        logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l process=%n %v");
        spdlog::set_default_logger(std::move(logger));
    }
    ~LogCapture()
    {
        spdlog::set_default_logger(m_before);
    }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /// The explanation of one request that RequestExplanation derives from the captured log lines.
    std::string explain(const std::string &request)
    {
        RequestExplanation explanation(request);
        std::istringstream log(m_text.str());
        explanation.read("log", log);
        std::ostringstream out;
        const bool found = explanation.write(out);
        CHECK(found);
        return out.str();
    }

private:
    std::shared_ptr<spdlog::logger> m_before;
    std::ostringstream m_text;
};

static void checkContains(const std::string &text, const std::string &part)
{
    INFO(text);
    CHECK_MESSAGE(text.find(part) != std::string::npos, part);
}

TEST_CASE("the logs explain the cause of a failed request by its id, and the metrics count it")
{
    Deployment deployment;
    StandInServer::Behaviour losesAnswer
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        if (id == "lost") {
            (void)co_await responder.beginStream(sealedResponse(request, 200));
            co_return;
        }
        co_await answerInFull(request, responder);
    };
    StandInServer::Behaviour breaksStreamOff = [](const HttpRequest &request, HttpResponder &responder) {
        const bool cut = request.headers.find("Tamarackcove-Attempt-Id") == "cut";
        return sendEvents(request, responder, cut ? 3 : 6, 6);
    };
    deployment.addServer("p1", "plain", losesAnswer);
    deployment.addServer("s1", "engines", breaksStreamOff);
    std::optional<LogCapture> capture;
    deployment.run([&]() -> asio::awaitable<void> {
        capture.emplace();
        const auto lost = co_await deployment.call("POST", "/once/x", "lost");
        CHECK(lost.status == 502);
        (void)co_await deployment.call("POST", "/stream/x", "cut", "a1");
        const auto [entry, control] = co_await deployment.metrics();
        checkContains(entry,
                      "tamarackcove_requests_total{route=\"/once/\",outcome=\"refused\",reason=\"outcome_unknown\"} 1");
        checkContains(entry,
                      "tamarackcove_requests_total{route=\"/stream/\",outcome=\"cut\",reason=\"not_resumed\"} 1");
        checkContains(entry, "tamarackcove_request_seconds_bucket{route=\"/once/\",outcome=\"refused\",le=\"0.15\"}");
        checkContains(entry, "tamarackcove_retries_left{service=\"engines\"}");
        checkContains(entry, "tamarackcove_configuration_version 7");
        checkContains(control, "tamarackcove_orders_total{action=\"load\",outcome=\"accepted\"}");
        checkContains(control, "tamarackcove_order_duty 1");
        checkContains(control, "tamarackcove_servers 2");
        checkContains(control, "tamarackcove_configuration_version 7");
    });
    REQUIRE(capture);
    const auto lost = capture->explain("lost");
    checkContains(lost, "event=server_answer_lost request=lost route=/once/ server=p1");
    checkContains(lost, "outcome: refused (outcome_unknown)");
    checkContains(lost, "cause: request_refused, the answer of a server was lost");
    const auto cut = capture->explain("cut");
    // The control host logs the load before the entry logs that the request has waited for it.
    const auto load = cut.find("event=order_answered server=s1 action=load model=m adapter=a1");
    const auto awaited = cut.find("event=adapter_awaited request=cut adapter=a1");
    REQUIRE(load != std::string::npos);
    REQUIRE(awaited != std::string::npos);
    CHECK(load < awaited);
    checkContains(cut, "event=server_answer_lost request=cut");
    checkContains(cut, "event=stream_cut request=cut");
    checkContains(cut, "outcome: cut (not_resumed)");
}

// Guards against a request that its entry holds for as long as a server sends the body of a refusal.
TEST_CASE("a request refused with a body without end goes on at another server")
{
    Deployment deployment;
    std::size_t sentBytes = 0;
    std::size_t refusals = 0;
    StandInServer::Behaviour refusesWithoutEnd
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "endless" || refusals > 0) {
            co_await answerInFull(request, responder);
            co_return;
        }
        ++refusals;
        auto head = sealedResponse(request, 503);
        head.headers.set("Tamarackcove-Not-Executed", "1");
        co_await sendWithoutEnd(std::move(head), responder, std::string(4096, 'x'), sentBytes);
    };
    deployment.addServer("p1", "plain", refusesWithoutEnd);
    deployment.addServer("p2", "plain", refusesWithoutEnd);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto startTime = Clock::now();
        const auto response = co_await deployment.call("POST", "/once/x", "endless");
        CHECK(response.status == 200);
        CHECK(refusals == 1);
        CHECK(Clock::now() - startTime < seconds(2));
        CHECK(sentBytes < MaxKernelBytes);
    });
}

// Guards against an answer that fills the memory of the entry, and against a refusal that says that a request which may
// have run has not.
TEST_CASE("an answer without end is given up at its size limit and answered with 502")
{
    constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
    Deployment deployment;
    std::size_t sentBytes = 0;
    int endless = 0;
    StandInServer::Behaviour answersWithoutEnd
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        if (id == "once" || (id == "again" && endless == 1)) {
            ++endless;
            co_await sendWithoutEnd(sealedResponse(request, 200), responder, std::string(65536, 'x'), sentBytes);
            co_return;
        }
        co_await answerInFull(request, responder);
    };
    deployment.addServer("p1", "plain", answersWithoutEnd);
    deployment.addServer("p2", "plain", answersWithoutEnd);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto once = co_await deployment.call("POST", "/once/x", "once");
        CHECK(once.status == 502);
        CHECK(endless == 1);
        CHECK(sentBytes < MaxAnswerBytes + MaxKernelBytes);
        const auto again = co_await deployment.call("GET", "/again/x", "again");
        CHECK(again.status == 200);
        CHECK(endless == 2);
        CHECK(sentBytes < 2 * (MaxAnswerBytes + MaxKernelBytes));
    });
}

// Guards against an answer whose bytes arrive without a pause, so that no read reaches its timeout after the deadline.
TEST_CASE("an answer that has not ended at the deadline of its request is given up")
{
    constexpr milliseconds Deadline{700};
    Deployment deployment;
    std::size_t sentBytes = 0;
    StandInServer::Behaviour sendsSlowly
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        if (id == "body") {
            co_await sendWithoutEnd(sealedResponse(request, 200), responder, "x", sentBytes);
            co_return;
        }
        if (id == "events") {
            auto head = sealedResponse(request, 200);
            head.headers.set("Content-Type", "text/event-stream");
            co_await sendWithoutEnd(std::move(head), responder, "id: 1\ndata: x\n\n", sentBytes);
            co_return;
        }
        co_await answerInFull(request, responder);
    };
    deployment.addServer("p1", "plain", sendsSlowly);
    deployment.addServer("s1", "engines", sendsSlowly);
    deployment.run([&]() -> asio::awaitable<void> {
        auto startTime = Clock::now();
        const auto body = co_await deployment.call("POST", "/once/x", "body", {}, Deadline);
        CHECK(body.status == 504);
        CHECK(Clock::now() - startTime < Deadline + seconds(2));
        startTime = Clock::now();
        const auto events = co_await deployment.call("POST", "/stream/x", "events", {}, Deadline);
        // The entry has closed the connection, so that the caller sees an incomplete stream.
        CHECK(events.status == 0);
        CHECK(Clock::now() - startTime < Deadline + seconds(2));
    });
}

// Guards against an event that fills the memory of the entry until the deadline of its request.
TEST_CASE("a stream whose server sends an event without end is resumed on another server")
{
    Deployment deployment;
    std::size_t sentBytes = 0;
    StandInServer::Behaviour sendsEndlessEvent
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "event" || request.headers.find("Last-Event-Id")) {
            co_await sendEvents(request, responder, 2, 2);
            co_return;
        }
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece("id: 1\ndata: x\n\n");
        Result<void, HttpError> written = ok();
        while (written.has_value() && sentBytes < 64 * 1024 * 1024) {
            written = co_await responder.writePiece(std::string(4096, 'x'));
            sentBytes += 4096;
            co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        }
    };
    deployment.addServer("p1", "plain", answerInFull);
    deployment.addServer("s1", "engines", sendsEndlessEvent);
    deployment.addServer("s2", "engines", sendsEndlessEvent);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "event");
        CHECK(response.status == 200);
        CHECK(response.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        CHECK(sentBytes < MaxKernelBytes);
    });
}

// Guards against a control host whose memory a server fills with its state, and whose task for this server never ends.
TEST_CASE("a state report without end counts as not read, and other servers load adapters")
{
    Deployment deployment;
    std::size_t sentBytes = 0;
    int reads = 0;
    StandInServer::Behaviour sendsEvents = [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, 2, 2);
    };
    deployment.addServer("p1", "plain", answerInFull);
    auto &broken = deployment.addServer("s1", "engines", sendsEvents);
    broken.reportBehaviour = [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
        ++reads;
        co_await sendWithoutEnd(jsonResponse(200, {}), responder, std::string(4096, ' '), sentBytes);
    };
    deployment.addServer("s2", "engines", sendsEvents);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "load", "a1");
        CHECK(response.status == 200);
        for (int i = 0; i < 100 && reads < 2; ++i) {
            co_await deployment.sleepFor(milliseconds(50));
        }
        CHECK(reads >= 2);
        CHECK(sentBytes < static_cast<std::size_t>(reads) * MaxKernelBytes);
        const auto [entry, control] = co_await deployment.metrics();
        checkContains(control, "tamarackcove_state_reads_failed_total");
    });
}
