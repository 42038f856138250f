#include "Deployment.h"
#include "LogCapture.h"

#include <optional>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

TEST_CASE("an adapter is loaded on demand, and a stream that breaks off is resumed on another server")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    StandInServer::Behaviour breaksStreamOff = [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, request.headers.find("Last-Event-Id") ? 6 : 3, 6);
    };
    auto &first = deployment.addServer("s1", "engines", breaksStreamOff);
    auto &second = deployment.addServer("s2", "engines", breaksStreamOff);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "r1", "a5");
        CHECK(response.status == 200);
        CHECK(response.headers.find("Tamarackcove-Server-Seal") == "seal");
        std::string expected;
        for (int i = 1; i <= 6; ++i) {
            expected += "id: " + std::to_string(i) + "\ndata: x\n\n";
        }
        CHECK(response.body == expected);
        CHECK(first.adapters.contains("a5"));
        CHECK(second.adapters.contains("a5"));
        CHECK(requestCount(first, "r1") == 1);
        CHECK(requestCount(second, "r1") == 1);
    });
}

// Guards against a stream that is cut because its server paused, when no other server could take it over.
TEST_CASE("a stream whose server pauses is answered in full if no other server can take it over")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    StandInServer::Behaviour pauses
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece("id: 1\ndata: x\n\n");
        // Longer than the silence after which another server may be asked to take the stream over.
        Timer timer(co_await asio::this_coro::executor, milliseconds(2000));
        co_await timer.async_wait(asio::use_awaitable);
        (void)co_await responder.writePiece("id: 2\ndata: x\n\n");
        (void)co_await responder.endStream();
    };
    auto &only = deployment.addServer("s1", "engines", pauses);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "paused", "a1");
        CHECK(response.status == 200);
        CHECK(response.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        CHECK(requestCount(only, "paused") == 1);
    });
}

// Guards against a stream that is cut because its server paused and the entry tried to move it to a server that it
// knew to be unreachable.
TEST_CASE("a stream whose server pauses is not moved to an unreachable server")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    StandInServer::Behaviour pausesOrAnswers
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "paused") {
            co_await sendEvents(request, responder, 2, 2);
            co_return;
        }
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece("id: 1\ndata: x\n\n");
        // Longer than the silence after which another server may be asked to take the stream over.
        Timer timer(co_await asio::this_coro::executor, milliseconds(2000));
        co_await timer.async_wait(asio::use_awaitable);
        (void)co_await responder.writePiece("id: 2\ndata: x\n\n");
        (void)co_await responder.endStream();
    };
    auto &running = deployment.addServer("s1", "engines", pausesOrAnswers);
    auto &stopped = deployment.addServer("s2", "engines", pausesOrAnswers);
    deployment.run([&]() -> asio::awaitable<void> {
        stopped.close();
        // The entry finds the stopped server unreachable four times, and then avoids it for three seconds.
        Timer timer(co_await asio::this_coro::executor);
        const auto until = Clock::now() + milliseconds(3200);
        for (int number = 0; Clock::now() < until; ++number) {
            const auto other = co_await deployment.call("POST", "/stream/x", "other-" + std::to_string(number));
            CHECK(other.status == 200);
            timer.expires_after(milliseconds(20));
            co_await timer.async_wait(asio::use_awaitable);
        }
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        CHECK(requestCount(running, "paused") == 1);
    });
}

TEST_CASE("a not repeatable request is sent to another server only if the first one has not run it")
{
    Deployment deployment;
    int broken = 0;
    StandInServer::Behaviour losesAnswer
        = [&broken](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        if (id == "lost") {
            ++broken;
            // Sends the head of the answer only and closes the connection, after the request has run.
            auto head = sealedResponse(request, 200);
            (void)co_await responder.beginStream(std::move(head));
            co_return;
        }
        if (id == "full" && ++broken == 1) {
            co_await refuseWithoutRunning(request, responder);
            co_return;
        }
        co_await answerInFull(request, responder);
    };
    auto &first = deployment.addServer("p1", "plain", losesAnswer);
    auto &second = deployment.addServer("p2", "plain", losesAnswer);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto lost = co_await deployment.call("POST", "/once/x", "lost");
        CHECK(lost.status == 502);
        CHECK(broken == 1);
        CHECK(requestCount(first, "lost") + requestCount(second, "lost") == 1);
        broken = 0;
        const auto moved = co_await deployment.call("POST", "/once/x", "full");
        CHECK(moved.status == 200);
        CHECK(moved.body == "whole");
        const auto none = co_await deployment.call("GET", "/nowhere/x", "none");
        CHECK(none.status == 404);
    });
}

TEST_CASE("a late answer to another request is not passed on as the answer to this one")
{
    Deployment deployment;
    StandInServer::Behaviour answersWithOtherId
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        // The answer has the id of another request, like a late answer to an earlier request.
        HttpRequest other = request;
        if (request.headers.find("Tamarackcove-Attempt-Id") == "mixed") {
            other.headers.set("Tamarackcove-Attempt-Id", "older");
        }
        co_await answerInFull(other, responder);
    };
    auto &server = deployment.addServer("p1", "plain", answersWithOtherId);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto mixed = co_await deployment.call("POST", "/once/x", "mixed");
        CHECK(mixed.status == 502);
        CHECK(requestCount(server, "mixed") == 1);
        const auto clean = co_await deployment.call("POST", "/once/x", "clean");
        CHECK(clean.status == 200);
    });
}

// Guards against a refusal that asks for a retry which can never succeed.
TEST_CASE("a configuration that is too long for the log is refused for good, with its size and the limit")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto refused = co_await deployment.putLongConfiguration(600 * 1024);
        CHECK(refused.status == 413);
        CHECK(refused.body.find("524288") != std::string::npos);
        const auto accepted = co_await deployment.putLongConfiguration(500 * 1024);
        CHECK(accepted.status == 200);
    });
}

TEST_CASE("the logs explain the cause of a failed request by its id, and the metrics count it")
{
    Deployment deployment;
    StandInServer::Behaviour losesAnswer
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto id = request.headers.find("Tamarackcove-Attempt-Id").value_or("");
        if (id == "lost") {
            (void)co_await responder.beginStream(sealedResponse(request, 200));
            co_return;
        }
        co_await answerInFull(request, responder);
    };
    StandInServer::Behaviour breaksStreamOff = [](const HttpRequest &request, HttpResponder &responder) {
        const bool cut = request.headers.find("Tamarackcove-Attempt-Id") == "cut";
        return sendEvents(request, responder, cut ? 3 : 6, 6);
    };
    deployment.addServer("p1", "plain", losesAnswer);
    deployment.addServer("s1", "engines", breaksStreamOff);
    std::optional<LogCapture> capture;
    deployment.run([&]() -> asio::awaitable<void> {
        capture.emplace();
        const auto lost = co_await deployment.call("POST", "/once/x", "lost");
        CHECK(lost.status == 502);
        (void)co_await deployment.call("POST", "/stream/x", "cut", "a1");
        const auto [entry, control] = co_await deployment.metrics();
        checkContains(entry,
                      "tamarackcove_requests_total{route=\"/once/\",outcome=\"refused\",reason=\"outcome_unknown\"} 1");
        checkContains(entry,
                      "tamarackcove_requests_total{route=\"/stream/\",outcome=\"cut\",reason=\"not_resumed\"} 1");
        checkContains(entry, "tamarackcove_request_seconds_bucket{route=\"/once/\",outcome=\"refused\",le=\"0.15\"}");
        checkContains(entry, "tamarackcove_retries_left{service=\"engines\"}");
        checkContains(entry, "tamarackcove_configuration_version 7");
        checkContains(control, "tamarackcove_orders_total{action=\"load\",outcome=\"accepted\"}");
        checkContains(control, "tamarackcove_order_duty 1");
        checkContains(control, "tamarackcove_servers 2");
        checkContains(control, "tamarackcove_configuration_version 7");
    });
    REQUIRE(capture);
    const auto lost = capture->explain("lost");
    checkContains(lost, "event=server_answer_lost request=lost route=/once/ server=p1");
    checkContains(lost, "outcome: refused (outcome_unknown)");
    checkContains(lost, "cause: request_refused, the answer of a server was lost");
    const auto cut = capture->explain("cut");
    // The control host logs the load before the entry logs that the request has waited for it.
    const auto load = cut.find("event=order_answered server=s1 action=load model=m adapter=a1");
    const auto awaited = cut.find("event=adapter_awaited request=cut adapter=a1");
    REQUIRE(load != std::string::npos);
    REQUIRE(awaited != std::string::npos);
    CHECK(load < awaited);
    checkContains(cut, "event=server_answer_lost request=cut");
    checkContains(cut, "event=stream_cut request=cut");
    checkContains(cut, "outcome: cut (not_resumed)");
}
