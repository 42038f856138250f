#include "Deployment.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

namespace {

/// How a server ends under the deadly request.
enum class End {
    ClosesConnections,
    FallsSilent,
    /// The server goes on, and only the connection ends.
    ResetsConnection,
};

/// A server of a plain service that closes the connection instead of answering a request whose path holds "deadly", or
/// falls silent. It is another start of the server after that, which the control host learns from its next heartbeat.
class CrashingServer
{
public:
    CrashingServer(const asio::any_io_executor &executor, int number, End end)
        : m_number(number)
        , m_end(end)
        , m_acceptor(executor, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(executor, accept(), asio::detached);
    }

    [[nodiscard]] std::string id() const
    {
        return "p" + std::to_string(m_number) + "-" + std::to_string(m_start);
    }
    [[nodiscard]] nlohmann::json heartbeat()
    {
        return {{"service", "plain"}, {"addr", "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())},
                {"zone", "z"},        {"slots", 8},
                {"state", "ready"},   {"seq", ++m_heartbeats},
                {"born", m_start}};
    }
    void close()
    {
        m_acceptor.close();
    }

    int crashes = 0;
    int answers = 0;

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (error) {
                co_return;
            }
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
        std::string received;
        for (;;) {
            const auto [error, size]
                = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", UseTuple);
            if (error) {
                co_return;
            }
            const auto head = received.substr(0, size);
            received.clear();
            if (head.find("deadly") != std::string::npos) {
                ++crashes;
                m_start += m_end == End::ResetsConnection ? 0 : 1;
                if (m_end == End::FallsSilent) {
                    char byte = 0;
                    (void)co_await socket.async_read_some(asio::buffer(&byte, 1), UseTuple);
                }
                co_return;
            }
            ++answers;
            constexpr std::string_view Name = "Tamarackcove-Attempt-Id: ";
            const auto at = head.find(Name) + Name.size();
            const auto answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTamarackcove-Server-Seal: seal\r\n"
                + std::string(Name) + head.substr(at, head.find("\r\n", at) - at) + "\r\n\r\n";
            const auto [writeError, written] = co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
            if (writeError) {
                co_return;
            }
        }
    }

    int m_number;
    End m_end;
    int m_start = 1;
    int m_heartbeats = 0;
    asio::ip::tcp::acceptor m_acceptor;
};

/// A deployment with crashing servers of the plain service.
struct CrashingDeployment
{
    explicit CrashingDeployment(End end = End::ClosesConnections)
    {
        for (int i = 1; i <= 4; ++i) {
            servers.push_back(std::make_unique<CrashingServer>(deployment.executor(), i, end));
            deployment.addExternalServer(servers.back()->id(), servers.back()->heartbeat());
        }
    }

    /// Announces the starts of the servers that crashed.
    asio::awaitable<void> announceServers()
    {
        for (const auto &server : servers) {
            const auto status = co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/" + server->id(),
                                                                server->heartbeat().dump());
            CHECK(status == 200);
        }
    }

    /// Sends the deadly request until it is refused as not run, and returns how often it crashed a server meanwhile.
    asio::awaitable<int> sendUntilRefused()
    {
        constexpr int MaxAttempts = 12;
        const auto before = crashes();
        for (int i = 0; i < MaxAttempts; ++i) {
            const auto answer = co_await deployment.call("GET", "/again/deadly", "deadly" + std::to_string(++attempts),
                                                         {}, milliseconds(500));
            // Other refusals have the caller come back within seconds.
            if (answer.status == 503 && std::stod(std::string(answer.headers.find("Retry-After").value_or("0"))) > 30) {
                break;
            }
            co_await announceServers();
            co_await deployment.sleepFor(milliseconds(150));
        }
        co_return crashes() - before;
    }

    [[nodiscard]] int crashes() const
    {
        int sum = 0;
        for (const auto &server : servers) {
            sum += server->crashes;
        }
        return sum;
    }

    void close()
    {
        for (const auto &server : servers) {
            server->close();
        }
    }

    Deployment deployment;
    std::vector<std::unique_ptr<CrashingServer>> servers;
    int attempts = 0;
};

} // namespace

// Guards against a plain request that is sent again and again and crashes each server that begins to run it.
TEST_CASE("a request without a prompt that crashes servers is refused, and sound ones on its path are served")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto crashes = co_await crashing.sendUntilRefused();
        // Each attempt reaches two servers at most, and the one in which the third crashes is the last.
        CHECK(crashes >= 3);
        CHECK(crashes <= 6);
        const auto sound = co_await deployment.call("GET", "/again/deadlx", "sound");
        CHECK(sound.status == 200);
        const auto otherMethod = co_await deployment.call("POST", "/once/x", "other");
        CHECK(otherMethod.status == 200);
        const auto again = co_await deployment.call("GET", "/again/deadly", "again");
        CHECK(again.status == 503);
        const auto [entryMetrics, controlMetrics] = co_await deployment.metrics();
        checkContains(entryMetrics, "requests_quarantined_total");
        checkContains(controlMetrics, "crashing_requests_quarantined 1");
        checkContains(controlMetrics, "prompt_parts_quarantined 0");
        crashing.close();
    });
}

// Guards against three more crashes after each change of leader.
TEST_CASE("a leader that has just started knows of the crashes of a request before it")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        (void)co_await deployment.call("GET", "/again/deadly", "first");
        CHECK(crashing.crashes() == 2);
        co_await deployment.sleepFor(milliseconds(300));
        co_await deployment.restartControl();
        co_await deployment.sleepFor(milliseconds(1500));
        co_await crashing.announceServers();
        co_await deployment.sleepFor(milliseconds(100));
        const auto more = co_await crashing.sendUntilRefused();
        CHECK(more <= 2);
        crashing.close();
    });
}

// Guards against a verdict that never ends, and against one that costs as many servers again when it has ended.
TEST_CASE("a quarantine ends, and one more crash of the request begins the next one")
{
    CrashingDeployment crashing;
    auto &deployment = crashing.deployment;
    deployment.quarantineTime = milliseconds(800);
    deployment.run([&]() -> asio::awaitable<void> {
        (void)co_await crashing.sendUntilRefused();
        co_await deployment.sleepFor(milliseconds(2500));
        const auto [entryMetrics, controlMetrics] = co_await deployment.metrics();
        checkContains(controlMetrics, "crashing_requests_quarantined 0");
        checkContains(controlMetrics, "crash_suspects_on_probation 1");
        co_await crashing.announceServers();
        const auto more = co_await crashing.sendUntilRefused();
        CHECK(more >= 1);
        CHECK(more <= 2);
        crashing.close();
    });
}

// Guards against a sound request that is refused for long because live servers have reset its connections.
TEST_CASE("a verdict is withdrawn once the servers that seemed to have crashed send heartbeats")
{
    CrashingDeployment crashing(End::ResetsConnection);
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        (void)co_await crashing.sendUntilRefused();
        const auto before = co_await deployment.metrics();
        checkContains(before.second, "crashing_requests_quarantined 1");
        co_await deployment.sleepFor(milliseconds(1200));
        co_await crashing.announceServers();
        co_await deployment.sleepFor(milliseconds(1200));
        const auto after = co_await deployment.metrics();
        checkContains(after.second, "crashing_requests_quarantined 0");
        checkContains(after.second, "crash_suspects_on_probation 0");
        crashing.close();
    });
}

// Guards against a request under which servers lose power one after the other, so that their connections just fall
// silent.
TEST_CASE("a request under which servers fall silent is refused")
{
    CrashingDeployment crashing(End::FallsSilent);
    auto &deployment = crashing.deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        const auto crashes = co_await crashing.sendUntilRefused();
        CHECK(crashes <= 6);
        crashing.close();
    });
}
