#include "LogCapture.h"
#include "RawServer.h"

#include <fmt/format.h>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace tamarackcove;
using namespace tamarackcove::test;

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static const std::string OwnFields = "Tamarackcove-Attempt-Id: cut\r\nTamarackcove-Server-Seal: seal\r\n";
static const std::string SizedBody = "Content-Length: 5\r\n\r\nwhole";
static const std::string SizedStream
    = "Content-Type: text/event-stream\r\nContent-Length: 14\r\n\r\nid: 1\ndata: x\n\n";
static const std::string UnsizedStreamHead
    = "HTTP/1.1 200 OK\r\n" + OwnFields + "Content-Type: text/event-stream\r\n\r\n";

static RawServer::Answer writes(std::string &answer)
{
    return [&answer](tcp::socket &socket) -> asio::awaitable<void> {
        (void)co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
    };
}

static asio::awaitable<HttpResponse> upload(Deployment &deployment, std::string path, std::size_t bodyBytes)
{
    auto request = Deployment::callerRequest("POST", std::move(path), "cut", {}, milliseconds(4000));
    request.body.assign(bodyBytes, 'x');
    auto response = co_await httpExchange(deployment.callerEndpoint(), std::move(request), CallTimeout);
    HttpResponse failed;
    failed.status = 0;
    co_return response.has_value() ? std::move(response).value() : failed;
}

namespace {

/// Two servers of a service with the same behaviour, in a deployment.
class RawServerPair
{
public:
    RawServerPair(Deployment &deployment, const std::string &service, const RawServer::Answer &answer)
        : m_first(deployment.executor(), service, answer)
        , m_second(deployment.executor(), service, answer)
    {
        deployment.addExternalServer("r1", m_first.heartbeat());
        deployment.addExternalServer("r2", m_second.heartbeat());
    }
    void close()
    {
        m_first.close();
        m_second.close();
    }

private:
    RawServer m_first;
    RawServer m_second;
};

} // namespace

/// What a request may get whose only server has sent a broken answer: neither the answer nor a promise that the request
/// has not run.
static void checkBroken(const HttpResponse &response)
{
    CHECK((response.status == 502 || response.status == 0));
    CHECK_FALSE(response.headers.find("Tamarackcove-Server-Seal"));
}

static std::vector<std::string> brokenHeads()
{
    std::vector<std::string> heads;
    for (const auto *status : {"000", "001", "042", "099", "600", "777", "999"}) {
        heads.push_back(fmt::format("HTTP/1.1 {} Status\r\n", status) + OwnFields);
    }
    for (const std::string name : {"X Field", "X-Field ", "X\tField", "X\001Field", "X\177Field", "X-Field\037",
                                   "\002X-Field", "Content-Length\v", "Content Length", "X\351Field", "X(Field)", ""}) {
        heads.push_back(fmt::format("HTTP/1.1 200 OK\r\n{}{}: 3\r\n", OwnFields, name));
    }
    heads.push_back("HTTP/1.1 200 OK\r\n" + OwnFields + std::string("X\0Field: 3\r\n", 12));
    return heads;
}

// Guards against an answer that HTTP does not allow in the hands of a caller, and against one that counts as an interim
// response before an answer that its server did not mean.
TEST_CASE("an answer with a status or a field name that HTTP does not allow does not reach the caller")
{
    Deployment deployment;
    std::string answer;
    const auto soundHead = fmt::format("\r\nHTTP/1.1 200 OK\r\n{}", OwnFields);
    RawServer plain(deployment.executor(), "plain", writes(answer));
    RawServer engine(deployment.executor(), "engines", writes(answer));
    deployment.addExternalServer("p1", plain.heartbeat());
    deployment.addExternalServer("s1", engine.heartbeat());
    deployment.run([&]() -> asio::awaitable<void> {
        for (const auto &head : brokenHeads()) {
            CAPTURE(head);
            for (const auto &rest : {SizedBody, SizedStream, soundHead + SizedBody, soundHead + SizedStream}) {
                answer = head + rest;
                for (const auto *path : {"/once/x", "/again/x", "/stream/x"}) {
                    const auto response = co_await deployment.call("POST", path, "cut");
                    checkBroken(response);
                }
            }
        }
        plain.close();
        engine.close();
    });
}

// Guards against a request that is lost although it may be repeated, and against one that runs twice although it may
// not.
TEST_CASE("a request whose answer is refused goes on at another server only if it may be repeated")
{
    Deployment deployment;
    int answers = 0;
    std::string broken;
    const RawServer::Answer breaksFirst = [&](tcp::socket &socket) -> asio::awaitable<void> {
        const auto bytes = ++answers == 1 ? broken : "HTTP/1.1 200 OK\r\n" + OwnFields + SizedBody;
        (void)co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
    };
    RawServerPair servers(deployment, "plain", breaksFirst);
    std::optional<LogCapture> capture;
    deployment.run([&]() -> asio::awaitable<void> {
        capture.emplace();
        for (const auto &head : {"HTTP/1.1 000 Status\r\n" + OwnFields, "HTTP/1.1 600 Status\r\n" + OwnFields,
                                 "HTTP/1.1 200 OK\r\n" + OwnFields + "X Field: 1\r\n",
                                 "HTTP/1.1 200 OK\r\n" + OwnFields + "X\001Field: 1\r\n"}) {
            CAPTURE(head);
            broken = head + SizedBody;
            answers = 0;
            const auto again = co_await deployment.call("GET", "/again/x", "cut");
            CHECK(again.status == 200);
            CHECK(again.body == "whole");
            CHECK(answers == 2);
            answers = 0;
            const auto once = co_await deployment.call("POST", "/once/x", "cut");
            checkBroken(once);
            CHECK(answers == 1);
        }
        // The entry has told the control host of crashes by then.
        co_await deployment.sleepFor(milliseconds(500));
        const auto [entry, control] = co_await deployment.metrics();
        checkContains(control, "tamarackcove_crash_evidence 0");
        checkContains(entry, "tamarackcove_server_answers_lost_total{service=\"plain\",how=\"broken\"} 8");
        checkContains(entry, "tamarackcove_retries_total{service=\"plain\",result=\"granted\"} 4");
        servers.close();
    });
    REQUIRE(capture);
    for (const auto *reason :
         {"the status is not between 100 and 599", "a field without a name that ends at its colon", "bad field"}) {
        checkContains(capture->text(), fmt::format("reason=\"{}\"", reason));
    }
    CHECK(capture->text().find("evidence=closed") == std::string::npos);
}

// Guards against an interrupted stream that a broken answer ends as if it were complete.
TEST_CASE("a stream that is resumed with an answer that HTTP does not allow ends as broken off")
{
    Deployment deployment;
    int answers = 0;
    std::string broken;
    const RawServer::Answer breaksOff = [&](tcp::socket &socket) -> asio::awaitable<void> {
        const auto begun = "HTTP/1.1 200 OK\r\n" + OwnFields + SizedStream;
        const auto bytes = ++answers == 1
            ? begun.substr(0, begun.find("Content-Length")) + "Content-Length: 28\r\n\r\nid: 1\ndata: x\n\n"
            : broken;
        (void)co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
    };
    RawServerPair servers(deployment, "engines", breaksOff);
    deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        for (const auto &head : brokenHeads()) {
            CAPTURE(head);
            broken = head + SizedStream;
            answers = 0;
            const auto response = co_await deployment.call("POST", "/stream/x", "cut");
            CHECK(response.status == 0);
            CHECK(answers == 2);
        }
        servers.close();
    });
}

// Guards against the beginning of an answer that is passed on as the whole answer: the server has reset the connection
// before it had the whole request.
TEST_CASE("an answer without a length is broken off if its server resets the connection during the upload")
{
    constexpr std::size_t LongBodyBytes = 3500 * 1024;
    constexpr std::size_t ShortBodyBytes = 40 * 1024;
    Deployment deployment;
    std::string answer;
    milliseconds pause{0};
    Ending ending = Ending::Reset;
    const RawServer::Answer answersAtOnce = [&](tcp::socket &socket) -> asio::awaitable<void> {
        (void)co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
        if (pause > milliseconds(0)) {
            co_await deployment.sleepFor(pause);
        }
        endConnection(socket, ending);
    };
    RawServer plain(deployment.executor(), "plain", answersAtOnce);
    RawServer engine(deployment.executor(), "engines", answersAtOnce);
    plain.setReceiveBuffer(4096);
    engine.setReceiveBuffer(4096);
    deployment.addExternalServer("p1", plain.heartbeat());
    deployment.addExternalServer("s1", engine.heartbeat());
    deployment.run([&]() -> asio::awaitable<void> {
        for (const auto bodyBytes : {ShortBodyBytes, LongBodyBytes}) {
            for (const auto way : {Ending::Reset, Ending::CloseThenReset}) {
                for (const auto time : {milliseconds(0), milliseconds(50)}) {
                    CAPTURE(bodyBytes);
                    CAPTURE(static_cast<int>(way));
                    CAPTURE(time.count());
                    ending = way;
                    pause = time;
                    answer = "HTTP/1.1 200 OK\r\n" + OwnFields + "\r\npart";
                    checkBroken(co_await upload(deployment, "/once/x", bodyBytes));
                    checkBroken(co_await upload(deployment, "/again/x", bodyBytes));
                    answer = UnsizedStreamHead + "id: 1\ndata: x\n\n";
                    checkBroken(co_await upload(deployment, "/stream/x", bodyBytes));
                }
            }
        }
        plain.close();
        engine.close();
    });
}

// Guards against a stream whose reset is noticed, while another server is asked to take the stream over, by a check
// that takes the error of the socket: the next read would see an end in order.
TEST_CASE("a silent stream without a length that is reset while another server is asked ends as broken off")
{
    Deployment deployment;
    int answers = 0;
    const RawServer::Answer silentThenRefuses = [&](tcp::socket &socket) -> asio::awaitable<void> {
        if (++answers == 1) {
            const auto bytes = UnsizedStreamHead + "id: 1\ndata: x\n\n";
            (void)co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
            while (answers == 1) {
                co_await deployment.sleepFor(milliseconds(10));
            }
            endConnection(socket, Ending::Reset);
            co_return;
        }
        // Longer than the interval in which the entry checks whether the silent server has gone on.
        co_await deployment.sleepFor(milliseconds(350));
        const auto bytes = "HTTP/1.1 503 Service Unavailable\r\n" + OwnFields
            + "Tamarackcove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        (void)co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
    };
    RawServerPair servers(deployment, "engines", silentThenRefuses);
    deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "cut");
        CHECK(response.status == 0);
        CHECK(answers == 2);
        servers.close();
    });
}

// Guards against a control host that gives orders by a state that the server has not stated.
TEST_CASE("a state report with a status or a field name that HTTP does not allow counts as not read")
{
    const std::string body = R"({"born":1,"seq":0,"models":[{"name":"m","version":1,"adapters":["a1@1"]}]})";
    const auto sized = fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    for (const auto &report :
         {"HTTP/1.1 000 Status\r\n\r\nHTTP/1.1 200 OK\r\n" + sized, "HTTP/1.1 200 OK\r\nX Field: 1\r\n" + sized}) {
        CAPTURE(report);
        Deployment deployment;
        RawServer broken(deployment.executor(), "engines", {});
        broken.report = report;
        deployment.addServer("p1", "plain", answerInFull);
        auto &sound = deployment.addServer("s2", "engines", [](const HttpRequest &request, HttpResponder &responder) {
            return sendEvents(request, responder, 2, 2);
        });
        deployment.addExternalServer("s1", broken.heartbeat());
        deployment.run([&]() -> asio::awaitable<void> {
            const auto response = co_await deployment.call("POST", "/stream/x", "load", "a1");
            CHECK(response.status == 200);
            CHECK(sound.adapters.contains("a1"));
            const auto [entry, control] = co_await deployment.metrics();
            checkContains(control, "tamarackcove_state_reads_failed_total");
            broken.close();
        });
    }
}

// Guards against a refusal of what a sound server may send.
TEST_CASE("unusual answers that HTTP allows reach the caller")
{
    struct Sound
    {
        std::string answer;
        int status = 200;
    };
    const std::vector<Sound> table{
        {"HTTP/1.1 200 \r\n" + OwnFields + SizedBody},
        {"HTTP/1.1 299 Own Status\r\n" + OwnFields + SizedBody, 299},
        {"HTTP/1.1 499 Own Status\r\n" + OwnFields + SizedBody, 499},
        {"HTTP/1.1 599 Own Status\r\n" + OwnFields + SizedBody, 599},
        {"HTTP/1.1 200 OK\r\n" + OwnFields + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + SizedBody},
        {"HTTP/1.1 200 OK\r\n" + OwnFields + "X-Value: a:b \xe9\r\nX-Empty:\r\n" + SizedBody},
        {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + OwnFields + SizedBody},
        {"HTTP/1.1 199 Own Status\r\n\r\nHTTP/1.1 200 OK\r\n" + OwnFields + SizedBody},
        {"HTTP/1.0 200 OK\r\n" + OwnFields + "\r\nwhole"},
        {"HTTP/1.1 200 OK\r\n" + OwnFields + "Connection: close\r\n\r\nwhole"},
        {"HTTP/1.1 200 OK\r\n" + OwnFields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n"},
    };
    Deployment deployment;
    std::string answer;
    RawServer plain(deployment.executor(), "plain", writes(answer));
    deployment.addServer("s1", "engines", [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, 2, 2);
    });
    deployment.addExternalServer("p1", plain.heartbeat());
    deployment.run([&]() -> asio::awaitable<void> {
        for (const auto &sound : table) {
            CAPTURE(sound.answer);
            answer = sound.answer;
            const auto response = co_await deployment.call("POST", "/once/x", "cut");
            CHECK(response.status == sound.status);
            CHECK(response.body == "whole");
            CHECK(response.headers.find("Tamarackcove-Server-Seal") == "seal");
        }
        plain.close();
    });
}
