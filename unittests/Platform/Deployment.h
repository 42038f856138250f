#pragma once

#include "StandInServer.h"
#include "platform/CallerCodec.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ControlCalls.h"
#include "platform/ServerCodec.h"
#include "tamarackcove/Control/Fleet/FleetNode.h"
#include "tamarackcove/Gateway/GatewayNode.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Timer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

namespace tamarackcove::test {

inline constexpr milliseconds CallTimeout{5000};
/// Time limit for the run of one deployment. It is generous because it only detects a hang.
inline constexpr seconds RunTimeout{20};

inline HttpResponse sealedResponse(const HttpRequest &request, int status)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Tamarackcove-Attempt-Id", request.headers.find("Tamarackcove-Attempt-Id").value_or(""));
    response.headers.set("Tamarackcove-Server-Seal", "seal");
    return response;
}

/// Sends the events that follow the one named in the request, up to event `upTo`. Breaks the stream off inside the next
/// event unless `upTo` is the last one of `all`.
inline boost::asio::awaitable<void> sendEvents(const HttpRequest &request, HttpResponder &responder, int upTo, int all)
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

inline boost::asio::awaitable<void> refuseWithoutRunning(const HttpRequest &request, HttpResponder &responder)
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

    /// Adds a server that the test runs itself: the control host gets this heartbeat of it.
    void addExternalServer(const std::string &id, nlohmann::json heartbeat)
    {
        m_externalServers.emplace_back(id, std::move(heartbeat));
    }
    [[nodiscard]] boost::asio::any_io_executor executor()
    {
        return m_io.get_executor();
    }

    /// Sends the next heartbeat of a server to the control host.
    boost::asio::awaitable<void> sendHeartbeat(const StandInServer &server)
    {
        for (const auto &member : m_servers) {
            if (member.server.get() == &server) {
                const auto beat = member.server->heartbeat(member.service).dump();
                const auto status
                    = co_await callControl("POST", "/v1/Instances.Heartbeat/" + member.server->id(), beat);
                CHECK(status == 200);
            }
        }
    }

    /// Starts all nodes, runs the body once the entry is ready and has the servers, and stops all nodes.
    void run(std::function<boost::asio::awaitable<void>()> body)
    {
        static const bool LogsSetUp = [] {
            initLogging("whole-path", LogLevel::Error);
            return true;
        }();
        REQUIRE(LogsSetUp);
        bool finished = false;
        boost::asio::co_spawn(m_io, runNodes(std::move(body)), [&](const std::exception_ptr &error) {
            finished = !error;
            m_io.stop();
        });
        m_io.run_for(RunTimeout);
        CHECK_MESSAGE(finished, "the deployment did not finish within RunTimeout");
    }

    /// Sends a configuration of a higher version that is longer than this, and returns the answer.
    boost::asio::awaitable<HttpResponse> putLongConfiguration(std::size_t bytes)
    {
        auto document = adjustedConfiguration();
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

    static HttpRequest callerRequest(std::string method, std::string path, std::string id, const std::string &adapter,
                                     milliseconds deadline)
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(path);
        request.headers = {{"Host", "h.example"},
                           {"Tamarackcove-Attempt-Id", std::move(id)},
                           {"Tamarackcove-Deadline-Ms", std::to_string(deadline.count())}};
        if (!adapter.empty()) {
            request.headers.set("Tamarackcove-Model", "m/" + adapter);
        }
        return request;
    }

    /// Where callers connect to the entry, also after it has been stopped.
    [[nodiscard]] Endpoint callerEndpoint() const
    {
        return {.host = "127.0.0.1", .port = m_callerPort};
    }

    /// Where operators and servers connect to the control host.
    [[nodiscard]] Endpoint controlEndpoint() const
    {
        return {.host = "127.0.0.1", .port = m_control->apiPort()};
    }

    boost::asio::awaitable<HttpResponse> call(std::string method, std::string path, std::string id,
                                              std::string adapter = {}, milliseconds deadline = milliseconds(4000))
    {
        auto request = callerRequest(std::move(method), std::move(path), std::move(id), adapter, deadline);
        auto entry = callerEndpoint();
        auto response = co_await httpExchange(std::move(entry), std::move(request), CallTimeout);
        HttpResponse failed;
        failed.status = 0;
        co_return response.has_value() ? std::move(response).value() : failed;
    }

    /// Calls the streaming route with a list of the parts of the prompt.
    boost::asio::awaitable<HttpResponse> callWithPrompt(std::string id, std::string parts)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/stream/x";
        request.headers = {{"Host", "h.example"},
                           {"Tamarackcove-Attempt-Id", id},
                           {"Tamarackcove-Deadline-Ms", "4000"},
                           {"Tamarackcove-Model", "m"},
                           {"Tamarackcove-Prompt-Prefix", parts}};
        Endpoint entry{.host = "127.0.0.1", .port = m_entry->callerPort()};
        auto response = co_await httpExchange(std::move(entry), std::move(request), CallTimeout);
        HttpResponse failed;
        failed.status = 0;
        co_return response.has_value() ? std::move(response).value() : failed;
    }

    /// Sends a call to the control host and returns the status of the answer, 0 if there is none.
    boost::asio::awaitable<int> callControl(std::string method, std::string path, std::string body)
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(path);
        request.body = std::move(body);
        Endpoint host{.host = "127.0.0.1", .port = m_control->apiPort()};
        const auto response = co_await httpExchange(std::move(host), std::move(request), CallTimeout);
        co_return response.has_value() ? response.value().status : 0;
    }

    boost::asio::awaitable<void> sleepFor(milliseconds time)
    {
        Timer timer(m_io, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    /// Stops the control host, so that the entry has no leader and keeps what it knows.
    boost::asio::awaitable<void> stopControl()
    {
        m_controlStopped = true;
        return m_control->shutDown();
    }

    /// Stops the entry as its process does after SIGTERM. Returns when the process would end.
    boost::asio::awaitable<void> stopEntry()
    {
        m_entryStopped = true;
        return m_entry->shutDown();
    }

    /// Stops the entry and starts it again, on other ports. The new one knows nothing of before.
    boost::asio::awaitable<void> restartEntry()
    {
        co_await m_entry->shutDown();
        m_entry.reset();
        startEntry();
    }

    /// Stops the control host and, after a pause, starts it again with its data folder, on the ports that it had.
    boost::asio::awaitable<void> restartControl(milliseconds downTime = milliseconds(0))
    {
        m_controlSettings.listen.port = m_control->apiPort();
        m_controlSettings.entryPort = m_control->entryPort();
        m_controlSettings.firstStart = false;
        co_await m_control->shutDown();
        m_control.reset();
        co_await sleepFor(downTime);
        startControl();
    }

    /// The metrics of the entry and of the control host.
    boost::asio::awaitable<std::pair<std::string, std::string>> metrics()
    {
        auto entry = co_await metricsAt(m_entry->metricsPort());
        auto control = co_await metricsAt(m_control->metricsPort());
        co_return std::pair(std::move(entry), std::move(control));
    }

    /// Sends the configuration with the present adjustment under another version, and returns the status of the answer.
    boost::asio::awaitable<int> putConfiguration(std::uint64_t version)
    {
        auto document = adjustedConfiguration();
        document["version"] = version;
        return callControl("POST", "/v1/Config.Replace", document.dump());
    }

    /// Whether the entry holds or refuses requests for an overloaded service. Set before run().
    bool admissionControl = false;
    /// Changes the configuration before it is sent.
    std::function<void(nlohmann::json &)> adjustConfiguration;
    /// How the control host writes its files. Set before run().
    FileHooks files = FileHooks::system();
    /// How often the control host expects heartbeats of servers. Set before run().
    milliseconds heartbeatInterval = FleetControlSettings().heartbeatInterval;
    /// How long the control host keeps what crashes servers in quarantine. Set before run().
    milliseconds quarantineTime = FleetControlSettings().quarantineTime;
    /// Time from the begin of stopEntry() until the process of the entry would be killed. Set before run().
    milliseconds gracePeriod = GatewaySettings().gracePeriod;

private:
    static boost::asio::awaitable<std::string> metricsAt(std::uint16_t port)
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

    static nlohmann::json configuration()
    {
        const auto route = [](const char *path, const char *type, const char *service, int attempts, bool resumable) {
            return nlohmann::json{{"name", path},     {"host", "h.example"},   {"pathPrefix", path},
                                  {"type", type},     {"timeoutMs", 4000},     {"goalMs", 1000},
                                  {"gapGoalMs", 600}, {"service", service},    {"attempts", attempts},
                                  {"priority", 0},    {"resumable", resumable}};
        };
        const nlohmann::json engine{{"slots", 8},
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

    [[nodiscard]] nlohmann::json adjustedConfiguration() const
    {
        auto document = configuration();
        if (adjustConfiguration) {
            adjustConfiguration(document);
        }
        return document;
    }

    void startControl()
    {
        FleetNode::Hooks hooks;
        hooks.readConfiguration = platform::readConfiguration;
        hooks.dialect = platform::engineDialect();
        hooks.frontEnd = platform::controlCalls;
        hooks.onFatal = [](std::string_view, std::string_view) {
        };
        hooks.files = files;
        m_control = std::make_unique<FleetNode>(m_io.get_executor(), m_controlSettings, std::move(hooks));
        REQUIRE(m_control->open().has_value());
        m_control->start();
    }

    void startEntry()
    {
        GatewaySettings settings;
        settings.name = "e1";
        settings.zone = Zone("z");
        settings.listen = {.host = "127.0.0.1", .port = 0};
        settings.readyListen = {.host = "127.0.0.1", .port = 0};
        settings.metricsListen = Endpoint{.host = "127.0.0.1", .port = 0};
        settings.controlPort = m_control->entryPort();
        settings.seeds = {"127.0.0.1"};
        settings.retrySlack = 50;
        settings.gracePeriod = gracePeriod;
        settings.admissionControl = admissionControl;
        m_entry = std::make_unique<GatewayNode>(m_io.get_executor(), settings, platform::callerDialect());
        REQUIRE(m_entry->open().has_value());
        m_callerPort = m_entry->callerPort();
        m_entry->start();
    }

    boost::asio::awaitable<void> runNodes(std::function<boost::asio::awaitable<void>()> body)
    {
        m_controlSettings.name = "c1";
        m_controlSettings.host = "127.0.0.1";
        m_controlSettings.listen = {.host = "127.0.0.1", .port = 0};
        m_controlSettings.metricsListen = Endpoint{.host = "127.0.0.1", .port = 0};
        m_controlSettings.seeds = {"127.0.0.1"};
        m_controlSettings.firstStart = true;
        m_controlSettings.dataFolder = m_folder;
        m_controlSettings.quarantineTime = quarantineTime;
        m_controlSettings.heartbeatInterval = heartbeatInterval;
        startControl();
        startEntry();
        for (const auto &member : m_servers) {
            member.server->start();
        }
        const auto before = co_await call("GET", "/again/x", "early");
        CHECK(before.status == 503);
        const auto document = adjustedConfiguration().dump();
        while (co_await callControl("POST", "/v1/Config.Replace", document) != 200) {
            co_await sleepFor(milliseconds(20));
        }
        for (const auto &member : m_servers) {
            co_await sendHeartbeat(*member.server);
        }
        for (const auto &[id, heartbeat] : m_externalServers) {
            const auto status = co_await callControl("POST", "/v1/Instances.Heartbeat/" + id, heartbeat.dump());
            CHECK(status == 200);
        }
        // The entry answers 200 once it has the configuration and a server of that service. Heartbeats that follow each
        // other are not always told to it together.
        const auto allServers = "tamarackcove_servers " + std::to_string(m_servers.size() + m_externalServers.size());
        for (;;) {
            const auto response = co_await call("GET", "/again/ready", "probe");
            const auto entryMetrics = co_await metricsAt(m_entry->metricsPort());
            if (response.status == 200 && entryMetrics.find(allServers) != std::string::npos) {
                break;
            }
            co_await sleepFor(milliseconds(20));
        }
        co_await body();
        if (!m_entryStopped) {
            co_await m_entry->shutDown();
        }
        if (!m_controlStopped) {
            co_await m_control->shutDown();
        }
        for (const auto &member : m_servers) {
            co_await member.server->stop();
        }
    }

    boost::asio::io_context m_io{1};
    std::filesystem::path m_folder;
    std::vector<Member> m_servers;
    std::vector<std::pair<std::string, nlohmann::json>> m_externalServers;
    FleetControlSettings m_controlSettings;
    std::unique_ptr<FleetNode> m_control;
    std::unique_ptr<GatewayNode> m_entry;
    std::uint16_t m_callerPort = 0;
    bool m_entryStopped = false;
    bool m_controlStopped = false;
};

inline boost::asio::awaitable<void> answerInFull(const HttpRequest &request, HttpResponder &responder)
{
    auto response = sealedResponse(request, 200);
    response.body = "whole";
    (void)co_await responder.send(std::move(response));
}

inline int requestCount(const StandInServer &server, const std::string &id)
{
    return static_cast<int>(std::count_if(server.requests.begin(), server.requests.end(), [&](const auto &request) {
        return request.headers.find("Tamarackcove-Attempt-Id") == id;
    }));
}

inline void checkContains(const std::string &text, const std::string &part)
{
    INFO(text);
    CHECK_MESSAGE(text.find(part) != std::string::npos, part);
}

} // namespace tamarackcove::test
