#include "../ProcessMemory.h"
#include "EndlessServer.h"

#include <array>
#include <set>
#include <sstream>
#include <string>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

/// The memory of an entry is 160 MB; this is what is left beside all else that it holds. The test process holds the
/// control host and the servers as well.
static constexpr std::size_t MaxGrowthBytes = 112 * 1024 * 1024;

/// Nothing is in progress when a row ends, so that the entry need not wait.
static constexpr milliseconds GracePeriod{400};

namespace {

struct Row
{
    const char *what;
    /// "plain" or "engines".
    const char *service;
    EndlessBytes bytes;
    /// Calls that meet the bytes at the same time.
    int calls = 24;
    /// The status of their answers; 0 for a connection that is closed without a whole answer.
    std::set<int> statuses{502, 504};
    /// Whether the callers read a few bytes now and then.
    bool slowCallers = false;
};

} // namespace

static std::vector<Row> rows()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string events = "Content-Type: text/event-stream\r\n" + chunked;
    const auto chunk = [](const std::string &data) {
        std::ostringstream text;
        text << std::hex << data.size() << "\r\n" << data << "\r\n";
        return text.str();
    };
    const std::string block(4096, 'x');
    return {
        {"a line of the head", "plain", {"X-Long: ", "x"}},
        {"fields of the head", "plain", {"", "X-Short: x\r\n"}},
        {"interim responses", "plain", {"", "HTTP/1.1 102 Processing\r\n\r\n", false}},
        {"bytes that are no answer", "plain", {"", "x", false}},
        {"a chunk extension", "plain", {chunked + "5;x=", "x"}},
        {"the size of a chunk", "plain", {chunked, "0"}},
        {"a line of the trailer", "plain", {chunked + chunk("ok") + "0\r\nX-Long: ", "x"}},
        {"fields of the trailer", "plain", {chunked + chunk("ok") + "0\r\n", "X-Short: x\r\n"}},
        {"a body with a length", "plain", {"Content-Length: 999999999999\r\n\r\n", "x"}},
        {"a body without a length", "plain", {"\r\n", "x"}},
        {"chunks", "plain", {chunked, chunk(block)}},
        {"small chunks", "plain", {chunked, chunk("x")}},
        {"bytes behind an answer", "plain", {"Content-Length: 2\r\n\r\nok", "x"}, 24, {200}},
        {"an event without its end", "engines", {events, chunk(block)}, 120, {0, 502, 504}},
        {"a name of an event without its end", "engines", {events + chunk("id: "), chunk("1")}, 24, {0, 502, 504}},
        {"events", "engines", {events, chunk("id: 1\ndata: x\n\n")}, 24, {0, 502, 504}},
        {"a body for slow callers", "plain", {"\r\n", "x"}, 24, {0, 502, 504}, true},
        {"events for slow callers", "engines", {events, chunk("data: " + block + "\n\n")}, 24, {0, 502, 504}, true},
    };
}

/// Sends a request and reads few bytes of its answer now and then, until it ends or the time is over.
static asio::awaitable<void> readSlowly(Deployment &deployment, HttpRequest request, milliseconds time)
{
    constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
    const auto endTime = Clock::now() + time;
    asio::ip::tcp::socket socket(deployment.executor());
    asio::ip::tcp::endpoint entry(asio::ip::make_address("127.0.0.1"), deployment.callerEndpoint().port);
    co_await socket.async_connect(entry, asio::use_awaitable);
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers.fields()) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Connection: close\r\nContent-Length: 0\r\n\r\n";
    auto [error, size] = co_await asio::async_write(socket, asio::buffer(text), UseTuple);
    std::array<char, 256> bytes{};
    while (!error && Clock::now() < endTime) {
        std::tie(error, size) = co_await socket.async_read_some(asio::buffer(bytes), UseTuple);
        co_await deployment.sleepFor(milliseconds(50));
    }
}

/// Sends a request, reads its answer and returns the status; 0 if the answer is not whole. The body is discarded,
/// because the callers are in the process whose memory is measured.
static asio::awaitable<int> sendAndDiscard(Deployment &deployment, HttpRequest request)
{
    auto connected = co_await HttpConnection::connect(deployment.callerEndpoint(), CallTimeout);
    if (connected.has_error()) {
        co_return 0;
    }
    auto &connection = *connected.value();
    const auto written = co_await connection.writeRequest(std::move(request), CallTimeout);
    if (written.has_error()) {
        co_return 0;
    }
    const auto head = co_await connection.readHead(CallTimeout);
    if (head.has_error()) {
        co_return 0;
    }
    for (;;) {
        const auto piece = co_await connection.readPiece(CallTimeout);
        if (piece.has_error()) {
            co_return 0;
        }
        if (!piece.value()) {
            co_return head.value().status;
        }
    }
}

// Guards against an entry that keeps what a faulty server sends without end, and against one that thereby loses the
// requests of others.
TEST_CASE("bytes without end in any part of an answer take bounded memory, and other requests are served")
{
    constexpr milliseconds Deadline{1200};
    for (const auto &row : rows()) {
        INFO(row.what);
        const bool streams = std::string(row.service) == "engines";
        Deployment deployment;
        deployment.gracePeriod = GracePeriod;
        std::vector<std::unique_ptr<EndlessServer>> servers;
        for (const char *id : {"x1", "x2"}) {
            servers.push_back(std::make_unique<EndlessServer>(deployment.executor(), id, row.service, row.bytes));
            deployment.addExternalServer(id, servers.back()->heartbeat());
        }
        deployment.addServer(streams ? "p1" : "s1", streams ? "plain" : "engines", answerInFull);
        deployment.run([&]() -> asio::awaitable<void> {
            const auto makeRequest = [&](const std::string &path, const std::string &id, milliseconds deadline) {
                auto request
                    = Deployment::callerRequest("POST", (streams ? "/stream/" : "/once/") + path, id, {}, deadline);
                if (streams) {
                    request.headers.set("Tamarackcove-Model", "m");
                }
                return request;
            };
            const auto send = [&](HttpRequest request) {
                return sendAndDiscard(deployment, std::move(request));
            };
            auto first = makeRequest("sound", "first", seconds(2));
            const auto answered = co_await send(std::move(first));
            CHECK(answered == 200);
            MemoryGrowth growth;
            int open = row.calls;
            for (int i = 0; i < row.calls; ++i) {
                const auto call = [&, i]() -> asio::awaitable<void> {
                    const auto number = std::to_string(i);
                    auto request = makeRequest("endless/" + number, "endless" + number, Deadline);
                    if (row.slowCallers) {
                        co_await readSlowly(deployment, std::move(request), 2 * Deadline);
                    } else {
                        const auto status = co_await send(std::move(request));
                        CHECK_MESSAGE(row.statuses.contains(status), status);
                    }
                    --open;
                };
                asio::co_spawn(deployment.executor(), call, asio::detached);
            }
            int sound = 0;
            while (open > 0) {
                auto request = makeRequest("sound", "sound" + std::to_string(++sound), seconds(4));
                const auto status = co_await send(std::move(request));
                CHECK_MESSAGE(status == 200, status);
                growth.sample();
                co_await deployment.sleepFor(milliseconds(5));
            }
            growth.sample();
            CHECK(sound > 0);
            CHECK(growth.bytes() < MaxGrowthBytes);
            MESSAGE(std::string(row.what), ": grew by ", growth.bytes() / 1024, " KiB; ", sound, " other requests");
            for (const auto &server : servers) {
                server->close();
            }
        });
    }
}

// Guards against a control host that keeps what many faulty servers send it without end, and against one that orders
// nothing from the others meanwhile.
TEST_CASE("state reports without end of many servers take bounded memory, and adapters are loaded elsewhere")
{
    /// The memory of a control host is 256 MB.
    constexpr std::size_t MaxControlGrowthBytes = 128 * 1024 * 1024;
    const std::vector<EndlessBytes> reports{
        {"Content-Type: application/json\r\n\r\n", " "},
        {"X-Long: ", "x"},
        {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
        {"Transfer-Encoding: chunked\r\n\r\n5;x=", "x"},
        {"Content-Length: 2\r\n\r\n{}", "x"},
    };
    for (const auto &bytes : reports) {
        INFO(bytes.beginning.substr(0, 20));
        Deployment deployment;
        deployment.gracePeriod = GracePeriod;
        deployment.addServer("p1", "plain", answerInFull);
        std::vector<std::unique_ptr<EndlessServer>> servers;
        for (int i = 0; i < 12; ++i) {
            const auto id = "x" + std::to_string(i);
            servers.push_back(std::make_unique<EndlessServer>(deployment.executor(), id, "engines", bytes));
            servers.back()->endlessReport = true;
            deployment.addExternalServer(id, servers.back()->heartbeat());
        }
        deployment.addServer("s1", "engines", [](const HttpRequest &request, HttpResponder &responder) {
            return sendEvents(request, responder, 2, 2);
        });
        deployment.run([&]() -> asio::awaitable<void> {
            MemoryGrowth growth;
            int served = 0;
            for (int i = 0; i < 3; ++i) {
                const auto response = co_await deployment.call("POST", "/stream/x", "load" + std::to_string(i), "a1");
                served += response.status == 200 ? 1 : 0;
                growth.sample();
            }
            CHECK(served > 0);
            CHECK(growth.bytes() < MaxControlGrowthBytes);
            for (const auto &server : servers) {
                server->close();
            }
        });
    }
}
