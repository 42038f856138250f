#include "tamarackcove/Operator/OperatorTool.h"

#include "tamarackcove/Control/ControlNode.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Settings/SettingsFile.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace asio = boost::asio;
using namespace tamarackcove;

namespace {

struct Outcome
{
    int exitCode = 0;
    std::string out;
    std::string err;
};

/// Runs tamarackcovectl with these arguments in this process.
Outcome ctl(const std::vector<std::string> &arguments)
{
    std::vector<const char *> argv{"tamarackcovectl"};
    for (const auto &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    std::ostringstream out;
    std::ostringstream err;
    Outcome outcome;
    const auto command
        = parseOperatorCommand(static_cast<int>(argv.size()), argv.data(), "test", err, outcome.exitCode);
    if (command) {
        outcome.exitCode = runOperatorCommand(*command, out, err);
    }
    outcome.out = out.str();
    outcome.err = err.str();
    return outcome;
}

std::filesystem::path scratchFolder()
{
    auto folder = std::filesystem::temp_directory_path() / ("operator-tool-test-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

/// Runs a control node on a thread of its own, because the tool blocks the thread of the test.
class RunningNode
{
public:
    RunningNode()
        : m_folder(scratchFolder())
    {
        ControlSettings settings;
        settings.name = "c1";
        settings.listen = {"127.0.0.1", 0};
        settings.entryListen = {"127.0.0.1", 0};
        settings.dataFolder = m_folder / "data";
        settings.zones = {Zone("a")};
        m_node = std::make_unique<ControlNode>(m_io.get_executor(), settings, ControlNode::Hooks{});
        REQUIRE(m_node->open().has_value());
        m_endpoint = m_node->administrationEndpoint().toString();
        m_node->start();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~RunningNode()
    {
        asio::co_spawn(m_io, m_node->shutDown(), asio::detached);
        m_thread.join();
        std::filesystem::remove_all(m_folder);
    }
    RunningNode(const RunningNode &) = delete;
    RunningNode &operator=(const RunningNode &) = delete;

    Outcome run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), {"--control", m_endpoint});
        return ctl(arguments);
    }
    std::string intentFile(const std::string &name) const
    {
        const auto path = (m_folder / (name + ".json")).string();
        std::ofstream(path) << R"({"service":"drafting","adapters":[{"name":")" << name
                            << R"(","version":"1","base_model":"b","current":true}],"name":")" << name << "\"}";
        return path;
    }

private:
    std::filesystem::path m_folder;
    asio::io_context m_io;
    std::unique_ptr<ControlNode> m_node;
    std::string m_endpoint;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a usage error gives exit code 2 and a message that names the error, without a connection attempt")
{
    CHECK(ctl({}).exitCode == ExitUsage);
    CHECK(ctl({"status"}).exitCode == ExitUsage);
    CHECK(ctl({"--control", "localhost:80", "status"}).err.find("localhost:80") != std::string::npos);
    CHECK(ctl({"--control", "127.0.0.1:1", "plan", "confrm", "p"}).exitCode == ExitUsage);
    CHECK(ctl({"--control", "127.0.0.1:1", "intent", "create"}).err.find("--file") != std::string::npos);
    CHECK(ctl({"--control", "127.0.0.1:1", "intent", "create", "--file", "/nonexistent"}).exitCode == ExitUsage);
}

TEST_CASE("an intent can be created, confirmed and shown, and a plan with an outdated base revision is refused")
{
    const RunningNode node;
    const auto created = node.run({"intent", "create", "--file", node.intentFile("rules")});
    CHECK(created.exitCode == 0);
    CHECK(created.out.find("+ rules@1 on b for drafting") != std::string::npos);
    CHECK(node.run({"plan", "list"}).out.find("plan-1") != std::string::npos);
    const auto rival = node.run({"intent", "create", "--file", node.intentFile("other"), "--command-id", "x"});
    const auto again = node.run({"intent", "create", "--file", node.intentFile("other"), "--command-id", "x"});
    CHECK(rival.out == again.out);
    CHECK(node.run({"plan", "confirm", "plan-1"}).out.find("revision 1") != std::string::npos);
    const auto conflict = node.run({"plan", "confirm", "plan-2"});
    CHECK(conflict.exitCode == ExitRefused);
    CHECK(conflict.err.find("in effect is revision 1, the last confirmed plan is plan-1") != std::string::npos);
    CHECK(node.run({"plan", "confirm", "plan-9"}).exitCode == ExitRefused);
    CHECK(node.run({"intent", "show", "rules"}).out.find("rules@1") != std::string::npos);
    CHECK(node.run({"intent", "show", "nothing"}).exitCode == ExitRefused);
    const auto status = node.run({"status", "--json"});
    CHECK(status.exitCode == 0);
    const auto page = nlohmann::json::parse(status.out);
    CHECK(page.at("revision") == 1);
    CHECK(page.at("plans_pending").at(0).at("confirmable") == false);
    CHECK(node.run({"status"}).out.find("revision 1 with 1 adapters from 1 intents") != std::string::npos);
}

TEST_CASE("without a reachable control host the tool exits with code 3 and reports that no control host answered")
{
    const auto outcome = ctl({"--control", "127.0.0.1:1", "--timeout-ms", "300", "status"});
    CHECK(outcome.exitCode == ExitUnreachable);
    CHECK(outcome.err.find("no control host gave an answer") != std::string::npos);
}

TEST_CASE("a command whose answer was lost is sent again with the same command id")
{
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    std::vector<std::string> ids;
    HttpServer server(supervisor, {},
                      [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
                          ids.push_back(nlohmann::json::parse(request.body).at("command_id").get<std::string>());
                          if (ids.size() == 1) {
                              // Closes the connection after the head of the answer.
                              (void)co_await responder.beginStream(streamHead("application/json"));
                              co_return;
                          }
                          (void)co_await responder.send(jsonResponse(200, R"({"plan":"plan-1","revision":1})"));
                      });
    REQUIRE(server.listen({"127.0.0.1", 0}).has_value());
    supervisor.start("accept", [&] { return server.run(); });
    const auto endpoint = Endpoint{"127.0.0.1", server.port()}.toString();
    std::thread thread([&] { io.run(); });
    const auto outcome = ctl({"--control", endpoint, "plan", "confirm", "plan-1", "--base-revision", "0"});
    asio::co_spawn(io, supervisor.stop(), asio::detached);
    thread.join();
    CHECK(outcome.exitCode == 0);
    REQUIRE(ids.size() == 2);
    CHECK(ids[0] == ids[1]);
}

namespace {

/// Answers the first connection with the first of these texts and further ones with the last, and counts them.
class RawControlHost
{
public:
    explicit RawControlHost(std::vector<std::string> answers)
        : m_answers(std::move(answers))
        , m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(m_io, accept(), asio::detached);
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~RawControlHost()
    {
        asio::post(m_io, [this] { m_acceptor.close(); });
        m_thread.join();
    }
    RawControlHost(const RawControlHost &) = delete;
    RawControlHost &operator=(const RawControlHost &) = delete;

    [[nodiscard]] Outcome run(std::vector<std::string> arguments)
    {
        const auto port = m_acceptor.local_endpoint().port();
        arguments.insert(arguments.end(), {"--control", Endpoint{"127.0.0.1", port}.toString()});
        return ctl(arguments);
    }
    [[nodiscard]] int connections() const
    {
        return m_connections;
    }

private:
    asio::awaitable<void> accept()
    {
        constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
            if (error) {
                co_return;
            }
            std::string request(4096, '\0');
            (void)co_await socket.async_read_some(asio::buffer(request), UseTuple);
            const auto &answer = m_connections++ == 0 ? m_answers.front() : m_answers.back();
            (void)co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
        }
    }

    std::vector<std::string> m_answers;
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_connections = 0;
    std::thread m_thread;
};

std::string answerWith(const std::string &startLine, const std::string &body)
{
    return startLine + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a command that counts as confirmed by an answer that is none.
TEST_CASE("a command whose answer HTTP does not allow is sent again")
{
    const auto confirmed = answerWith("HTTP/1.1 200 OK", R"({"plan":"plan-1","revision":1})");
    for (const auto &broken : {"HTTP/1.1 000 Status\r\n\r\n" + confirmed, answerWith("HTTP/1.1 600 Status", "{}"),
                               answerWith("HTTP/1.1 200 OK\r\nX\001Field: 1", "{}")}) {
        CAPTURE(broken);
        RawControlHost host({broken, confirmed});
        const auto outcome = host.run({"plan", "confirm", "plan-1", "--base-revision", "0"});
        CHECK(outcome.exitCode == 0);
        CHECK(host.connections() == 2);
    }
}

// Guards against a tool that ends by an exception, or that calls a command refused which may have been accepted.
TEST_CASE("an answer with a body that the tool cannot read gives exit code 3")
{
    for (const auto *body : {"", "{", "[]", "3", R"({"plan":7})"}) {
        CAPTURE(body);
        RawControlHost host({answerWith("HTTP/1.1 200 OK", body)});
        const auto outcome = host.run({"plan", "confirm", "plan-1", "--base-revision", "0", "--command-id", "c7"});
        CHECK(outcome.exitCode == ExitUnreachable);
        CHECK(outcome.err.find("--command-id c7") != std::string::npos);
    }
    for (const auto *body : {R"({"error":7})", R"({"error":{"message":7}})", R"({"in_effect":[]})"}) {
        CAPTURE(body);
        RawControlHost host({answerWith("HTTP/1.1 409 Conflict", body)});
        CHECK(host.run({"plan", "confirm", "plan-1", "--base-revision", "0"}).exitCode == ExitUnreachable);
    }
    RawControlHost host({answerWith("HTTP/1.1 200 OK", "[]")});
    const auto status = host.run({"status"});
    CHECK(status.exitCode == ExitUnreachable);
    CHECK(status.err.find("--command-id") == std::string::npos);
}
