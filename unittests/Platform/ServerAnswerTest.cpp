#include "Deployment.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

// Guards against requests to a server that has said in an answer that it is leaving, and whose heartbeats still say
// that it is ready.
TEST_CASE("a server that states in an answer that it is leaving gets no further requests")
{
    Deployment deployment;
    int leavingRequests = 0;
    StandInServer::Behaviour leaves
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto response = sealedResponse(request, 200);
        response.body = "whole";
        if (request.headers.find("Tamarackcove-Attempt-Id").value_or("").starts_with("call")) {
            ++leavingRequests;
            response.headers.set("Server-Leaving", "1");
        }
        (void)co_await responder.send(std::move(response));
    };
    auto &leaving = deployment.addServer("p1", "plain", leaves);
    auto &other = deployment.addServer("p2", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        constexpr int Requests = 30;
        for (int i = 0; i < Requests; ++i) {
            const auto response = co_await deployment.call("GET", "/again/x", "call" + std::to_string(i));
            CHECK(response.status == 200);
            if (i == Requests / 2) {
                // The leader has the report of the entry by now, and a later heartbeat does not bring the server back.
                co_await deployment.sleepFor(milliseconds(300));
                co_await deployment.sendHeartbeat(leaving);
                co_await deployment.sleepFor(milliseconds(100));
            }
        }
        CHECK(leavingRequests == 1);
        CHECK(other.requests.size() >= Requests - 1);
    });
}

// Guards against requests to servers that have all asked for none for a while: the callers are told at once when to
// come back.
TEST_CASE("servers that ask for no requests get none, and callers are refused until the first one returns")
{
    Deployment deployment;
    StandInServer::Behaviour asksForPause
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (!request.headers.find("Tamarackcove-Attempt-Id").value_or("").starts_with("call")) {
            co_await answerInFull(request, responder);
            co_return;
        }
        auto response = sealedResponse(request, 503);
        response.headers.set("Tamarackcove-Not-Executed", "1");
        response.headers.set("Retry-After", "2");
        (void)co_await responder.send(std::move(response));
    };
    auto &first = deployment.addServer("p1", "plain", asksForPause);
    auto &second = deployment.addServer("p2", "plain", asksForPause);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto startTime = Clock::now();
        for (int i = 0; i < 10; ++i) {
            const auto response = co_await deployment.call("GET", "/again/x", "call" + std::to_string(i));
            CHECK(response.status == 503);
            const std::string retryAfter(response.headers.find("Retry-After").value_or("0"));
            const auto left = std::chrono::duration<double>(startTime + seconds(2) - Clock::now()).count();
            CHECK(std::stod(retryAfter) >= left - 0.01);
        }
        // The first request was refused by each server.
        const auto calls = [](const StandInServer &server) {
            return std::count_if(server.requests.begin(), server.requests.end(), [](const auto &request) {
                return request.headers.find("Tamarackcove-Attempt-Id").value_or("").starts_with("call");
            });
        };
        CHECK(calls(first) + calls(second) == 2);
        CHECK(Clock::now() < startTime + seconds(2));
    });
}

namespace {

/// An engine that writes the refusal of a request once more when the request comes again on the same connection, and
/// then runs it.
class RepeatingEngine
{
public:
    explicit RepeatingEngine(const asio::any_io_executor &executor)
        : m_acceptor(executor, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(executor, accept(), asio::detached);
    }

    [[nodiscard]] nlohmann::json heartbeat() const
    {
        return singleHeartbeat("engines", m_acceptor.local_endpoint().port(), models());
    }
    void close()
    {
        m_acceptor.close();
    }

    int runs = 0;
    int refusals = 0;

private:
    [[nodiscard]] nlohmann::json models() const
    {
        auto adapters = nlohmann::json::array();
        if (m_holdsAdapter) {
            adapters.push_back("a1@1");
        }
        return {{{"name", "m"}, {"version", 1}, {"adapters", adapters}}};
    }

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
        std::string received;
        std::array<char, 4096> readBuffer{};
        bool refused = false;
        for (;;) {
            const auto [error, headBytes] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
            if (error) {
                co_return;
            }
            const auto head = received.substr(0, headBytes);
            received.erase(0, headBytes);
            const auto length = std::stoul(head.substr(head.find("content-length: ") + 16));
            while (received.size() < length) {
                const auto [bodyError, bytes]
                    = co_await socket.async_read_some(asio::buffer(readBuffer), asio::as_tuple(asio::use_awaitable));
                if (bodyError) {
                    co_return;
                }
                received.append(readBuffer.data(), bytes);
            }
            received.erase(0, length);
            const auto answer = answerTo(head, refused);
            (void)co_await asio::async_write(socket, asio::buffer(answer), asio::as_tuple(asio::use_awaitable));
        }
    }

    std::string answerTo(const std::string &head, bool &refused)
    {
        static const std::string Id = "Tamarackcove-Attempt-Id: twice\r\n";
        static const std::string Refusal = "HTTP/1.1 421 Misdirected Request\r\n" + Id + "Content-Length: 0\r\n\r\n";
        if (head.find("/v1/report") != std::string::npos) {
            return json(nlohmann::json{{"born", 1}, {"models", models()}, {"busy", false}, {"seq", m_orders}}.dump(),
                        "200 OK");
        }
        if (head.find("/v1/order") != std::string::npos) {
            ++m_orders;
            m_holdsAdapter = true;
            return json("{}", "202 Accepted");
        }
        if (refusals == 0) {
            ++refusals;
            refused = true;
            m_holdsAdapter = false;
            return Refusal;
        }
        ++runs;
        const std::string events = "id: 1\ndata: x\n\n";
        return (std::exchange(refused, false) ? Refusal : "") + "HTTP/1.1 200 OK\r\n" + Id
            + "Tamarackcove-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nContent-Length: "
            + std::to_string(events.size()) + "\r\n\r\n" + events;
    }

    static std::string json(const std::string &body, const std::string &status)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_orders = 0;
    bool m_holdsAdapter = false;
};

} // namespace

// Guards against a request that runs twice, or is answered "not run" although it has run: a second attempt on the same
// connection has the same id, so that a refusal written once more is taken for its answer.
TEST_CASE("a request is not sent again on the connection on which a server has refused it")
{
    Deployment deployment;
    RepeatingEngine engine(deployment.executor());
    deployment.addServer("p1", "plain", answerInFull);
    deployment.addExternalServer("s1", engine.heartbeat());
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "twice", "a1");
        CHECK(response.status == 200);
        CHECK(response.body == "id: 1\ndata: x\n\n");
        CHECK(engine.refusals == 1);
        CHECK(engine.runs == 1);
        engine.close();
    });
}

// Guards against a stream that ends as if it were complete in the middle of an event, and against events that a caller
// gets twice.
TEST_CASE("a stream that ends inside an event, or starts anew, goes on at another server")
{
    Deployment deployment;
    int starts = 0;
    StandInServer::Behaviour endsInsideEvent
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        if (id == "inside" && !request.headers.find("Last-Event-Id")) {
            (void)co_await responder.beginStream(std::move(head));
            (void)co_await responder.writePiece("id: 1\ndata: x\n\nid: 2\nda");
            (void)co_await responder.endStream();
            co_return;
        }
        if (id == "anew") {
            // Both servers start with the first event; the first one breaks off.
            ++starts;
            (void)co_await responder.beginStream(std::move(head));
            (void)co_await responder.writePiece("id: 1\ndata: x\n\n");
            if (starts > 1) {
                (void)co_await responder.writePiece("id: 2\ndata: x\n\n");
                (void)co_await responder.endStream();
            }
            co_return;
        }
        co_await sendEvents(request, responder, 2, 2);
    };
    deployment.addServer("p1", "plain", answerInFull);
    deployment.addServer("s1", "engines", endsInsideEvent);
    deployment.addServer("s2", "engines", endsInsideEvent);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto inside = co_await deployment.call("POST", "/stream/x", "inside");
        CHECK(inside.status == 200);
        CHECK(inside.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        const auto anew = co_await deployment.call("POST", "/stream/x", "anew");
        // The stream is cut, so that the caller sees that it is incomplete.
        CHECK(anew.status == 0);
        CHECK(starts == 2);
    });
}

// Guards against a stalled stream that is held until its deadline because its server sends a byte now and then.
TEST_CASE("a stream whose server sends bytes but completes no event goes on at another server")
{
    Deployment deployment;
    int stalls = 0;
    StandInServer::Behaviour sendsBytes
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "stalls" || request.headers.find("Last-Event-Id")) {
            co_await sendEvents(request, responder, 3, 3);
            co_return;
        }
        ++stalls;
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        auto written = co_await responder.writePiece("id: 1\ndata: x\n\nid: 2\ndata: ");
        for (int i = 0; written.has_value() && i < 60; ++i) {
            co_await deployment.sleepFor(milliseconds(100));
            written = co_await responder.writePiece("x");
        }
    };
    deployment.addServer("p1", "plain", answerInFull);
    deployment.addServer("s1", "engines", sendsBytes);
    deployment.addServer("s2", "engines", sendsBytes);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "stalls");
        CHECK(response.status == 200);
        CHECK(response.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
        CHECK(stalls == 1);
    });
}
