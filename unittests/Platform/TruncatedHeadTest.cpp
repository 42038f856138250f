#include "RawServer.h"

#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace tamarackcove;
using namespace tamarackcove::test;

static const std::string Head = "HTTP/1.1 200 OK\r\nTamarackcove-Attempt-Id: cut\r\nTamarackcove-Server-Seal: seal\r\n";
static const std::string StreamHead = Head + "Content-Type: text/event-stream\r\n";
static const std::string FirstEvent = "id: 1\ndata: x\n\n";
static const std::string SecondEvent = "id: 2\ndata: x\n\n";

namespace {

/// Writes the bytes of `answer` in reply to the request "cut" and ends the connection.
class CuttingServer : public RawServer
{
public:
    CuttingServer(const asio::any_io_executor &executor, std::string service)
        : RawServer(executor, std::move(service), [this](tcp::socket &socket) { return cut(socket); })
    {
    }

    std::string answer;
    Ending ending = Ending::Close;

private:
    asio::awaitable<void> cut(tcp::socket &socket)
    {
        (void)co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
        endConnection(socket, ending);
    }
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
    const auto answersBefore = server.answers;
    const auto response = co_await deployment.call("POST", std::move(path), "cut");
    CAPTURE(server.answer);
    CAPTURE(static_cast<int>(ending));
    // 502 if nothing was relayed; 0 if the caller sees a connection that ends inside the answer.
    CHECK((response.status == 502 || response.status == 0));
    CHECK(server.answers == answersBefore + 1);
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
