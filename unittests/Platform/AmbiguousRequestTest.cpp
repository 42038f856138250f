#include "../Http/Framings.h"
#include "Deployment.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

/// Time without further bytes after which an answer counts as complete.
static constexpr milliseconds QuietTime{100};

/// All bytes that a node answers to these on one connection, until it closes the connection or falls silent.
static asio::awaitable<std::string> answerTo(Endpoint node, std::string bytes)
{
    using namespace asio::experimental::awaitable_operators;
    constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    Timer quiet(socket.get_executor());
    co_await socket.async_connect({asio::ip::make_address(node.host), node.port}, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
    std::string answer;
    std::array<char, 4096> buffer{};
    for (;;) {
        quiet.expires_after(QuietTime);
        auto read = co_await (socket.async_read_some(asio::buffer(buffer), UseTuple) || quiet.async_wait(UseTuple));
        if (read.index() != 0 || std::get<0>(std::get<0>(read))) {
            co_return answer;
        }
        answer.append(buffer.data(), std::get<1>(std::get<0>(read)));
    }
}

static std::string requestWith(const Framing &framing, const std::string &path, const std::string &id)
{
    const std::string target = path + id + " ";
    return "POST " + target + framing.version + "\r\nHost: h.example\r\nTamarackcove-Attempt-Id: " + id
        + "\r\nTamarackcove-Deadline-Ms: 1500\r\n" + framing.fields + "\r\n" + framing.body;
}

// Guards against a request inside the body of another one that is passed on to a server, which runs it although no
// caller has sent it.
TEST_CASE("of a request that can be framed in more than one way, nothing reaches a server or the control host")
{
    const Framing inner{"the inner request", "HTTP/1.1", "Content-Length: 0\r\n", "", true, ""};
    Deployment deployment;
    auto &server = deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto received = server.requests.size();
        for (const auto &framing : framings()) {
            if (framing.accepted) {
                continue;
            }
            CAPTURE(framing.what);
            const auto outer = requestWith(framing, "/once/", "outer") + requestWith(inner, "/once/", "inner");
            for (auto node : {deployment.callerEndpoint(), deployment.controlEndpoint()}) {
                const auto answer = co_await answerTo(std::move(node), outer);
                CAPTURE(answer);
                CHECK(answer.starts_with("HTTP/1.1 400"));
                CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
            }
        }
        CHECK(server.requests.size() == received);
        const auto sound = co_await deployment.call("POST", "/once/x", "sound");
        CHECK(sound.status == 200);
    });
}
