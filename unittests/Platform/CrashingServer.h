#pragma once

#include "Deployment.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <utility>

namespace tamarackcove::test {

/// How a server ends under the deadly request.
enum class End {
    ClosesConnections,
    FallsSilent,
    /// It closes the connection after the head of its answer.
    ClosesInAnswer,
    /// The server goes on, and only the connection ends.
    ResetsConnection,
};

/// A server of a plain service that closes the connection instead of answering a request whose path holds "deadly", or
/// falls silent. It is another start of the server after that, at the same address, which the control host learns from
/// its next heartbeat.
class CrashingServer
{
public:
    CrashingServer(const boost::asio::any_io_executor &executor, int number, End end, milliseconds downTime)
        : m_number(number)
        , m_end(end)
        , m_downTime(downTime)
        , m_acceptor(executor, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(executor, accept(), boost::asio::detached);
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
    /// The start before this one, and the heartbeat that it sent just before it crashed.
    [[nodiscard]] std::string formerId() const
    {
        return "p" + std::to_string(m_number) + "-" + std::to_string(m_start - 1);
    }
    [[nodiscard]] nlohmann::json lastHeartbeatOfFormer()
    {
        auto former = heartbeat();
        former["born"] = m_start - 1;
        return former;
    }
    void close()
    {
        m_acceptor.close();
    }
    [[nodiscard]] bool isUp() const
    {
        return Clock::now() >= m_upAt;
    }

    int crashes = 0;
    int answers = 0;
    /// When the server has crashed.
    std::vector<TimePoint> crashTimes;
    /// Called before a request is answered, with its head.
    std::function<boost::asio::awaitable<void>(std::string head)> onRun;

private:
    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error) {
                co_return;
            }
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        constexpr auto UseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        std::string received;
        for (;;) {
            const auto [error, size] = co_await boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", UseTuple);
            if (error) {
                co_return;
            }
            const auto head = received.substr(0, size);
            received.clear();
            if (!isUp()) {
                char byte = 0;
                (void)co_await socket.async_read_some(boost::asio::buffer(&byte, 1), UseTuple);
                co_return;
            }
            if (head.find("deadly") != std::string::npos) {
                ++crashes;
                crashTimes.push_back(Clock::now());
                m_upAt = Clock::now() + m_downTime;
                m_start += m_end == End::ResetsConnection ? 0 : 1;
                if (m_end == End::ClosesInAnswer) {
                    const auto begun = answerHead(head, 5) + "wh";
                    (void)co_await boost::asio::async_write(socket, boost::asio::buffer(begun), UseTuple);
                }
                if (m_end == End::FallsSilent) {
                    char byte = 0;
                    (void)co_await socket.async_read_some(boost::asio::buffer(&byte, 1), UseTuple);
                }
                co_return;
            }
            ++answers;
            if (onRun) {
                co_await onRun(head);
            }
            const auto answer = answerHead(head, 0);
            const auto [writeError, written]
                = co_await boost::asio::async_write(socket, boost::asio::buffer(answer), UseTuple);
            if (writeError) {
                co_return;
            }
        }
    }

    /// The head of the answer to a request with this head.
    static std::string answerHead(const std::string &request, std::size_t bodyBytes)
    {
        constexpr std::string_view Name = "Tamarackcove-Attempt-Id: ";
        const auto at = request.find(Name) + Name.size();
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes)
            + "\r\nTamarackcove-Server-Seal: seal\r\n" + std::string(Name)
            + request.substr(at, request.find("\r\n", at) - at) + "\r\n\r\n";
    }

    int m_number;
    End m_end;
    /// How long the server is down after it has crashed.
    milliseconds m_downTime;
    TimePoint m_upAt;
    int m_start = 1;
    int m_heartbeats = 0;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/// A deployment with crashing servers of the plain service.
struct CrashingDeployment
{
    explicit CrashingDeployment(End end = End::ClosesConnections, milliseconds downTime = milliseconds(0))
    {
        for (int i = 1; i <= 4; ++i) {
            servers.push_back(std::make_unique<CrashingServer>(deployment.executor(), i, end, downTime));
            deployment.addExternalServer(servers.back()->id(), servers.back()->heartbeat());
        }
    }

    /// Announces the starts of the servers that are up.
    boost::asio::awaitable<void> announceServers()
    {
        for (const auto &server : servers) {
            if (!server->isUp()) {
                continue;
            }
            const auto status = co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/" + server->id(),
                                                                server->heartbeat().dump());
            CHECK(status == 200);
        }
    }

    /// Makes an attempt to send a request; the number is different for each.
    using MakeRequest = std::function<HttpRequest(int number)>;

    /// The deadly request, as each caller sends it.
    static HttpRequest deadlyRequest(int number, milliseconds deadline = milliseconds(500))
    {
        return Deployment::callerRequest("GET", "/again/deadly", "deadly" + std::to_string(number), {}, deadline);
    }

    /// Sends the deadly request until it is refused as not run, and returns how often it crashed a server meanwhile.
    boost::asio::awaitable<int> sendUntilRefused()
    {
        return sendUntilRefused([](int number) { return deadlyRequest(number); }, CallTimeout, true);
    }
    /// Sends a request until it is refused as not run, and returns how often it crashed a server meanwhile. The caller
    /// leaves after `patience`.
    boost::asio::awaitable<int> sendUntilRefused(MakeRequest makeRequest, milliseconds patience, bool announce)
    {
        constexpr int MaxAttempts = 12;
        const auto before = crashes();
        for (int i = 0; i < MaxAttempts; ++i) {
            if (isQuarantined(co_await send(makeRequest(++attempts), patience))) {
                break;
            }
            if (announce) {
                co_await announceServers();
            }
            co_await deployment.sleepFor(milliseconds(150));
        }
        co_return crashes() - before;
    }

    /// Sends a request, and returns an answer with the status 0 if none has come within this time.
    boost::asio::awaitable<HttpResponse> send(HttpRequest request, milliseconds patience = CallTimeout)
    {
        auto entry = deployment.callerEndpoint();
        auto response = co_await httpExchange(std::move(entry), std::move(request), patience);
        HttpResponse failed;
        failed.status = 0;
        co_return response.has_value() ? std::move(response).value() : failed;
    }

    static bool isQuarantined(const HttpResponse &answer)
    {
        // Other refusals have the caller come back within seconds.
        constexpr double LongestOtherRetrySeconds = 30;
        return answer.status == 503
            && std::stod(std::string(answer.headers.find("Retry-After").value_or("0"))) > LongestOtherRetrySeconds;
    }

    /// The crashes of all servers, oldest first.
    [[nodiscard]] std::vector<TimePoint> crashTimes() const
    {
        std::vector<TimePoint> all;
        for (const auto &server : servers) {
            all.insert(all.end(), server->crashTimes.begin(), server->crashTimes.end());
        }
        std::sort(all.begin(), all.end());
        return all;
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

} // namespace tamarackcove::test
