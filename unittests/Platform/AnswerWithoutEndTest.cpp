#include "Deployment.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

/// Sends a body until the entry or control host closes the connection, and adds the bytes to `sentBytes`. Gives up
/// after MaxSentBytes or MaxSendTime, so that the test ends if nobody closes the connection.
static asio::awaitable<void> sendWithoutEnd(HttpResponse head, HttpResponder &responder, std::string piece,
                                            std::size_t &sentBytes)
{
    constexpr std::size_t MaxSentBytes = 256 * 1024 * 1024;
    constexpr seconds MaxSendTime{8};
    const auto startTime = Clock::now();
    auto written = co_await responder.beginStream(std::move(head));
    while (written.has_value() && sentBytes < MaxSentBytes && Clock::now() - startTime < MaxSendTime) {
        written = co_await responder.writePiece(piece);
        sentBytes += piece.size();
        // Lets the other tasks of this thread run also while the kernel accepts all bytes.
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    }
}

/// What the sockets on both sides of a loopback connection hold at most beyond what the reader has read.
static constexpr std::size_t MaxKernelBytes = 12 * 1024 * 1024;

// Guards against a request that its entry holds for as long as a server sends the body of a refusal.
TEST_CASE("a request refused with a body without end goes on at another server")
{
    Deployment deployment;
    std::size_t sentBytes = 0;
    std::size_t refusals = 0;
    StandInServer::Behaviour refusesWithoutEnd
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "endless" || refusals > 0) {
            co_await answerInFull(request, responder);
            co_return;
        }
        ++refusals;
        auto head = sealedResponse(request, 503);
        head.headers.set("Tamarackcove-Not-Executed", "1");
        co_await sendWithoutEnd(std::move(head), responder, std::string(4096, 'x'), sentBytes);
    };
    deployment.addServer("p1", "plain", refusesWithoutEnd);
    deployment.addServer("p2", "plain", refusesWithoutEnd);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto startTime = Clock::now();
        const auto response = co_await deployment.call("POST", "/once/x", "endless");
        CHECK(response.status == 200);
        CHECK(refusals == 1);
        CHECK(Clock::now() - startTime < seconds(2));
        CHECK(sentBytes < MaxKernelBytes);
    });
}

// Guards against an answer that fills the memory of the entry, and against a refusal that says that a request which may
// have run has not.
TEST_CASE("an answer without end is given up at its size limit and answered with 502")
{
    constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
    Deployment deployment;
    std::size_t sentBytes = 0;
    int endless = 0;
    StandInServer::Behaviour answersWithoutEnd
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        if (id == "once" || (id == "again" && endless == 1)) {
            ++endless;
            co_await sendWithoutEnd(sealedResponse(request, 200), responder, std::string(65536, 'x'), sentBytes);
            co_return;
        }
        co_await answerInFull(request, responder);
    };
    deployment.addServer("p1", "plain", answersWithoutEnd);
    deployment.addServer("p2", "plain", answersWithoutEnd);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto once = co_await deployment.call("POST", "/once/x", "once");
        CHECK(once.status == 502);
        CHECK(endless == 1);
        CHECK(sentBytes < MaxAnswerBytes + MaxKernelBytes);
        const auto again = co_await deployment.call("GET", "/again/x", "again");
        CHECK(again.status == 200);
        CHECK(endless == 2);
        CHECK(sentBytes < 2 * (MaxAnswerBytes + MaxKernelBytes));
    });
}

// Guards against an answer whose bytes arrive without a pause, so that no read reaches its timeout after the deadline.
TEST_CASE("an answer that has not ended at the deadline of its request is given up")
{
    constexpr milliseconds Deadline{700};
    Deployment deployment;
    std::size_t sentBytes = 0;
    StandInServer::Behaviour sendsSlowly
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        if (id == "body") {
            co_await sendWithoutEnd(sealedResponse(request, 200), responder, "x", sentBytes);
            co_return;
        }
        if (id == "events") {
            auto head = sealedResponse(request, 200);
            head.headers.set("Content-Type", "text/event-stream");
            co_await sendWithoutEnd(std::move(head), responder, "id: 1\ndata: x\n\n", sentBytes);
            co_return;
        }
        co_await answerInFull(request, responder);
    };
    deployment.addServer("p1", "plain", sendsSlowly);
    deployment.addServer("s1", "engines", sendsSlowly);
    deployment.run([&]() -> asio::awaitable<void> {
        auto startTime = Clock::now();
        const auto body = co_await deployment.call("POST", "/once/x", "body", {}, Deadline);
        CHECK(body.status == 504);
        CHECK(Clock::now() - startTime < Deadline + seconds(2));
        startTime = Clock::now();
        const auto events = co_await deployment.call("POST", "/stream/x", "events", {}, Deadline);
        // The entry has closed the connection, so that the caller sees an incomplete stream.
        CHECK(events.status == 0);
        CHECK(Clock::now() - startTime < Deadline + seconds(2));
    });
}

// Guards against an event that fills the memory of the entry until the deadline of its request.
TEST_CASE("a stream whose server sends an event without end is resumed on another server")
{
    Deployment deployment;
    std::size_t sentBytes = 0;
    StandInServer::Behaviour sendsEndlessEvent
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "event" || request.headers.find("Last-Event-Id")) {
            co_await sendEvents(request, responder, 2, 2);
            co_return;
        }
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece("id: 1\ndata: x\n\n");
        Result<void, HttpError> written = ok();
        while (written.has_value() && sentBytes < 64 * 1024 * 1024) {
            written = co_await responder.writePiece(std::string(4096, 'x'));
            sentBytes += 4096;
            co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        }
    };
    deployment.addServer("p1", "plain", answerInFull);
    deployment.addServer("s1", "engines", sendsEndlessEvent);
    deployment.addServer("s2", "engines", sendsEndlessEvent);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "event");
        CHECK(response.status == 200);
        CHECK(response.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        CHECK(sentBytes < MaxKernelBytes);
    });
}

// Guards against a control host whose memory a server fills with its state, and whose task for this server never ends.
TEST_CASE("a state report without end counts as not read, and other servers load adapters")
{
    Deployment deployment;
    std::size_t sentBytes = 0;
    int reads = 0;
    StandInServer::Behaviour sendsEvents = [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, 2, 2);
    };
    deployment.addServer("p1", "plain", answerInFull);
    auto &broken = deployment.addServer("s1", "engines", sendsEvents);
    broken.reportBehaviour = [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
        ++reads;
        co_await sendWithoutEnd(jsonResponse(200, {}), responder, std::string(4096, ' '), sentBytes);
    };
    deployment.addServer("s2", "engines", sendsEvents);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "load", "a1");
        CHECK(response.status == 200);
        for (int i = 0; i < 100 && reads < 2; ++i) {
            co_await deployment.sleepFor(milliseconds(50));
        }
        CHECK(reads >= 2);
        CHECK(sentBytes < static_cast<std::size_t>(reads) * MaxKernelBytes);
        const auto [entry, control] = co_await deployment.metrics();
        checkContains(control, "tamarackcove_state_reads_failed_total");
    });
}

// Guards against a server that gets no orders for seconds because one of its state reports came too late.
TEST_CASE("a state report that comes too late is read again soon")
{
    Deployment deployment;
    int reads = 0;
    StandInServer::Behaviour sendsEvents = [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, 2, 2);
    };
    deployment.addServer("p1", "plain", answerInFull);
    auto &late = deployment.addServer("s1", "engines", sendsEvents);
    late.reportBehaviour = [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
        if (++reads <= 2) {
            co_await deployment.sleepFor(milliseconds(300));
        }
        const auto report = late.report().dump();
        (void)co_await responder.send(jsonResponse(200, report));
    };
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "load", "a1");
        CHECK(response.status == 200);
        CHECK(reads >= 3);
    });
}
