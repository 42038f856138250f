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
using asio::ip::tcp;
using namespace tamarackcove;
using namespace tamarackcove::test;

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static const std::string Head = "HTTP/1.1 200 OK\r\nTamarackcove-Attempt-Id: cut\r\nTamarackcove-Server-Seal: seal\r\n";
static const std::string StreamHead = Head + "Content-Type: text/event-stream\r\n";
static const std::string FirstEvent = "id: 1\ndata: x\n\n";
static const std::string SecondEvent = "id: 2\ndata: x\n\n";

namespace {

/// How a server ends its connection after the bytes of its answer.
enum class Ending {
    Close,
    Reset,
};

/// A server that writes the bytes of `answer` in reply to the request "cut" and ends the connection. Other requests get
/// a whole answer. Thread safety: used on the thread of the executor.
class CuttingServer
{
public:
    CuttingServer(const asio::any_io_executor &executor, std::string service)
        : m_service(std::move(service))
        , m_acceptor(executor, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(executor, accept(), asio::detached);
    }

    [[nodiscard]] nlohmann::json heartbeat() const
    {
        return {{"service", m_service},
                {"addr", "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())},
                {"zone", "z"},
                {"slots", 8},
                {"state", "ready"},
                {"seq", 1},
                {"born", 1},
                {"models", {{{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}}}}};
    }
    void close()
    {
        m_acceptor.close();
    }

    std::string answer;
    Ending ending = Ending::Close;
    /// Number of answers to the request "cut".
    int cutAnswers = 0;

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
            if (error) {
                co_return;
            }
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string received;
        for (;;) {
            // The requests of these tests have no body.
            const auto [error, headBytes]
                = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", UseTuple);
            if (error) {
                co_return;
            }
            const auto head = received.substr(0, headBytes);
            received.erase(0, headBytes);
            if (head.find("Tamarackcove-Attempt-Id: cut\r\n") != std::string::npos) {
                ++cutAnswers;
                (void)co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
                if (ending == Ending::Reset) {
                    socket.set_option(tcp::socket::linger(true, 0));
                }
                // The destructor would undo the option and close the connection in order.
                socket.close();
                co_return;
            }
            const auto whole = wholeAnswer(head);
            (void)co_await asio::async_write(socket, asio::buffer(whole), UseTuple);
        }
    }

    static std::string wholeAnswer(const std::string &head)
    {
        static const std::string IdField = "Tamarackcove-Attempt-Id: ";
        std::string fields;
        if (const auto at = head.find(IdField); at != std::string::npos) {
            fields = head.substr(at, head.find("\r\n", at) + 2 - at) + "Tamarackcove-Server-Seal: seal\r\n";
        }
        const std::string body = head.find("/v1/report") == std::string::npos
            ? "whole"
            : R"({"born":1,"seq":0,"models":[{"name":"m","version":1,"adapters":[]}]})";
        return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string m_service;
    tcp::acceptor m_acceptor;
};

std::string chunk(const std::string &bytes)
{
    // Each of these tests writes chunks of fewer than 256 bytes.
    constexpr std::string_view Digits = "0123456789abcdef";
    return std::string{Digits[bytes.size() / 16], Digits[bytes.size() % 16]} + "\r\n" + bytes + "\r\n";
}

std::string withLength(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

/// Sends the request "cut" on a route, and checks that its caller gets no success.
static asio::awaitable<void> checkIncomplete(Deployment &deployment, CuttingServer &server, std::string path,
                                             std::string answer, Ending ending)
{
    server.answer = std::move(answer);
    server.ending = ending;
    const auto answersBefore = server.cutAnswers;
    const auto response = co_await deployment.call("POST", std::move(path), "cut");
    CAPTURE(server.answer);
    CAPTURE(static_cast<int>(ending));
    // 502 if nothing was relayed; 0 if the caller sees a connection that ends inside the answer.
    CHECK((response.status == 502 || response.status == 0));
    CHECK(server.cutAnswers == answersBefore + 1);
}

static asio::awaitable<void> checkComplete(Deployment &deployment, CuttingServer &server, std::string path,
                                           std::string answer, std::string body)
{
    server.answer = std::move(answer);
    server.ending = Ending::Close;
    const auto response = co_await deployment.call("POST", std::move(path), "cut");
    CAPTURE(server.answer);
    CHECK(response.status == 200);
    CHECK(response.body == body);
}

// Guards against a success without the rest of its head or body, framed as whole, after the server has stopped anywhere
// in its answer.
TEST_CASE("an answer that is cut at any byte is not passed on as complete")
{
    Deployment deployment;
    CuttingServer server(deployment.executor(), "plain");
    deployment.addExternalServer("p1", server.heartbeat());
    deployment.run([&]() -> asio::awaitable<void> {
        const auto sized = withLength(Head, "whole");
        const auto chunked = Head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("who") + chunk("le") + "0\r\n\r\n";
        for (const auto &whole : {sized, chunked}) {
            for (std::size_t length = 0; length < whole.size(); ++length) {
                const auto ending = length % 2 == 0 ? Ending::Close : Ending::Reset;
                co_await checkIncomplete(deployment, server, "/once/x", whole.substr(0, length), ending);
            }
            co_await checkComplete(deployment, server, "/once/x", whole, "whole");
        }
        server.close();
    });
}

// Guards against an empty answer in place of the one that a server has stopped to send after its head.
TEST_CASE("an answer with neither a length nor chunks is complete when its server closes the connection")
{
    Deployment deployment;
    CuttingServer server(deployment.executor(), "plain");
    deployment.addExternalServer("p1", server.heartbeat());
    deployment.run([&]() -> asio::awaitable<void> {
        co_await checkComplete(deployment, server, "/once/x", Head + "\r\nwhole", "whole");
        co_await checkIncomplete(deployment, server, "/once/x", Head + "\r\nwhole", Ending::Reset);
        co_await checkIncomplete(deployment, server, "/once/x", Head + "\r\n", Ending::Reset);
        co_await checkIncomplete(deployment, server, "/once/x", Head + "\r\n", Ending::Close);
        // The server states that the body is empty.
        co_await checkComplete(deployment, server, "/once/x", withLength(Head, ""), "");
        co_await checkComplete(deployment, server, "/once/x", Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "");
        server.close();
    });
}

// Guards against a stream that ends as if it were complete after its server has stopped anywhere in it.
TEST_CASE("a stream that is cut at any byte is not ended as complete")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    CuttingServer server(deployment.executor(), "engines");
    deployment.addExternalServer("s1", server.heartbeat());
    deployment.run([&]() -> asio::awaitable<void> {
        const auto events = FirstEvent + SecondEvent;
        const auto sized = withLength(StreamHead, events);
        const auto chunked
            = StreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(FirstEvent) + chunk(SecondEvent) + "0\r\n\r\n";
        for (const auto &whole : {sized, chunked}) {
            for (std::size_t length = 0; length < whole.size(); ++length) {
                const auto ending = length % 2 == 0 ? Ending::Close : Ending::Reset;
                co_await checkIncomplete(deployment, server, "/stream/x", whole.substr(0, length), ending);
            }
            co_await checkComplete(deployment, server, "/stream/x", whole, events);
        }
        server.close();
    });
}

// Guards against a stream without events, or with half an event, that ends as if it were complete.
TEST_CASE("a stream with neither a length nor chunks is complete when its server closes it after an event")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    CuttingServer server(deployment.executor(), "engines");
    deployment.addExternalServer("s1", server.heartbeat());
    deployment.run([&]() -> asio::awaitable<void> {
        const auto events = FirstEvent + SecondEvent;
        const auto head = StreamHead + "\r\n";
        for (std::size_t length = 0; length <= events.size(); ++length) {
            const auto answer = head + events.substr(0, length);
            if (length == FirstEvent.size() || length == events.size()) {
                co_await checkComplete(deployment, server, "/stream/x", answer, events.substr(0, length));
            } else {
                co_await checkIncomplete(deployment, server, "/stream/x", answer, Ending::Close);
            }
            co_await checkIncomplete(deployment, server, "/stream/x", answer, Ending::Reset);
        }
        server.close();
    });
}
