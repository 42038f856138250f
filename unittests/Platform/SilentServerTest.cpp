#include "Deployment.h"

#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

/// Longer than the silence after which another server may be asked to take a stream over.
static constexpr milliseconds LongPause{2000};
static constexpr std::string_view FirstEvent = "id: 1\ndata: x\n\n";
static constexpr std::string_view SecondEvent = "id: 2\ndata: x\n\n";

static asio::awaitable<void> pauseFor(milliseconds time)
{
    Timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Sends the first event, pauses, and sends the rest of the stream.
static asio::awaitable<void> streamWithPause(const HttpRequest &request, HttpResponder &responder, milliseconds pause)
{
    auto head = sealedResponse(request, 200);
    head.headers.set("Content-Type", "text/event-stream");
    (void)co_await responder.beginStream(std::move(head));
    (void)co_await responder.writePiece(FirstEvent);
    co_await pauseFor(pause);
    (void)co_await responder.writePiece(SecondEvent);
    (void)co_await responder.endStream();
}

/// Serves the first attempt of the request "paused" with one behaviour and its later attempts with another one. Other
/// requests get a whole stream.
static StandInServer::Behaviour firstAndLaterAttempts(int &attempts, StandInServer::Behaviour first,
                                                      StandInServer::Behaviour later)
{
    return [&attempts, first = std::move(first), later = std::move(later)](const HttpRequest &request,
                                                                           HttpResponder &responder) {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "paused") {
            return sendEvents(request, responder, 2, 2);
        }
        return attempts++ == 0 ? first(request, responder) : later(request, responder);
    };
}

static const StandInServer::Behaviour StreamWithLongPause = [](const HttpRequest &request, HttpResponder &responder) {
    return streamWithPause(request, responder, LongPause);
};

static std::string wholeStream()
{
    return std::string(FirstEvent) + std::string(SecondEvent);
}

// Guards against a stream that is cut because its silent server was left before another one had taken it over.
TEST_CASE("a stream is read on from its silent server if the next server refuses it")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    const auto behaviour = firstAndLaterAttempts(attempts, StreamWithLongPause, refuseWithoutRunning);
    deployment.addServer("s1", "engines", behaviour);
    deployment.addServer("s2", "engines", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        CHECK(attempts == 2);
    });
}

// Guards against the same loss while no control host leads: the next server has evicted the adapter without the entry
// knowing, and nobody can order another load.
TEST_CASE("a stream is read on from its silent server if the next one lacks the adapter and there is no leader")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    StandInServer::Behaviour lacksAdapter
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto response = sealedResponse(request, 421);
        response.headers.set("Tamarackcove-Not-Executed", "1");
        (void)co_await responder.send(std::move(response));
    };
    const auto behaviour = firstAndLaterAttempts(attempts, StreamWithLongPause, lacksAdapter);
    auto &first = deployment.addServer("s1", "engines", behaviour);
    auto &second = deployment.addServer("s2", "engines", behaviour);
    first.adapters = {"a1"};
    second.adapters = {"a1"};
    deployment.run([&]() -> asio::awaitable<void> {
        const auto ready = co_await deployment.call("POST", "/stream/x", "ready", "a1");
        CHECK(ready.status == 200);
        // The leader has told the entry by now what both servers hold.
        co_await deployment.sleepFor(milliseconds(500));
        co_await deployment.stopControl();
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused", "a1");
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        CHECK(attempts == 2);
    });
}

// Guards against an answer that is lost because its server was left before the head of the answer had come.
TEST_CASE("an answer is awaited from its silent server if the next server refuses the request")
{
    Deployment deployment;
    int attempts = 0;
    StandInServer::Behaviour answersLate
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        // Longer than twice the latency goal of the route.
        co_await pauseFor(milliseconds(2500));
        co_await answerInFull(request, responder);
    };
    StandInServer::Behaviour behaviour = [&](const HttpRequest &request, HttpResponder &responder) {
        if (request.headers.find("Tamarackcove-Attempt-Id") != "paused") {
            return answerInFull(request, responder);
        }
        return attempts++ == 0 ? answersLate(request, responder) : refuseWithoutRunning(request, responder);
    };
    deployment.addServer("p1", "plain", behaviour);
    deployment.addServer("p2", "plain", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto paused = co_await deployment.call("GET", "/again/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == "whole");
        CHECK(attempts == 2);
    });
}

// Guards against a stream that goes on at two servers for longer than the platform allows, and against one that is
// given up to a server that has not begun to answer although the silent one has gone on meanwhile.
TEST_CASE("a stream stays at its silent server if that one goes on before the next one answers")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    const StandInServer::Behaviour goesOnSoon = [](const HttpRequest &request, HttpResponder &responder) {
        // The next server is asked 1500 ms after the first event.
        return streamWithPause(request, responder, milliseconds(1600));
    };
    const StandInServer::Behaviour neverAnswers = [](const HttpRequest &, HttpResponder &) -> asio::awaitable<void> {
        co_await pauseFor(milliseconds(3000));
    };
    const auto behaviour = firstAndLaterAttempts(attempts, goesOnSoon, neverAnswers);
    deployment.addServer("s1", "engines", behaviour);
    deployment.addServer("s2", "engines", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto startTime = Clock::now();
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        CHECK(attempts == 2);
        CHECK(Clock::now() - startTime < seconds(3));
    });
}

// Guards against a stream that stays at a server that has stopped because the next one needs some time to answer: what
// is left of the framing of the last event must not count as a sign of life.
TEST_CASE("a stream whose server stays silent goes on at a server that answers late")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    const StandInServer::Behaviour staysSilent = [](const HttpRequest &request, HttpResponder &responder) {
        return streamWithPause(request, responder, milliseconds(5000));
    };
    const StandInServer::Behaviour answersLate
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        co_await pauseFor(milliseconds(600));
        co_await sendEvents(request, responder, 2, 2);
    };
    const auto behaviour = firstAndLaterAttempts(attempts, staysSilent, answersLate);
    deployment.addServer("s1", "engines", behaviour);
    deployment.addServer("s2", "engines", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto startTime = Clock::now();
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        CHECK(attempts == 2);
        CHECK(Clock::now() - startTime < seconds(3));
    });
}

// Guards against a stream that is never finished because its entry waits for a server that has stopped, and against a
// run that its first server continues long after another one has taken it over.
TEST_CASE("a stream whose server stays silent goes on at the server that takes it over, and is ended at the first")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    std::optional<TimePoint> takenOverAt;
    std::optional<TimePoint> endedAt;
    const StandInServer::Behaviour staysSilent
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece(FirstEvent);
        const auto until = Clock::now() + seconds(4);
        while (!responder.callerGone() && Clock::now() < until) {
            co_await pauseFor(milliseconds(10));
        }
        endedAt = Clock::now();
    };
    const StandInServer::Behaviour takesOver
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        takenOverAt = Clock::now();
        co_await sendEvents(request, responder, 2, 2);
    };
    const auto behaviour = firstAndLaterAttempts(attempts, staysSilent, takesOver);
    deployment.addServer("s1", "engines", behaviour);
    deployment.addServer("s2", "engines", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        co_await deployment.sleepFor(milliseconds(100));
        CHECK(attempts == 2);
        REQUIRE(takenOverAt.has_value());
        REQUIRE(endedAt.has_value());
        CHECK(*endedAt - *takenOverAt < milliseconds(400));
    });
}

// Guards against a stream that is cut because its silent server was left while the request waited in the queue of the
// next one, which refused it then.
TEST_CASE("a stream is read on from its silent server if the next server refuses it late")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    const StandInServer::Behaviour refusesLate
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        co_await pauseFor(milliseconds(700));
        co_await refuseWithoutRunning(request, responder);
    };
    const StandInServer::Behaviour goesOnLater = [](const HttpRequest &request, HttpResponder &responder) {
        return streamWithPause(request, responder, milliseconds(2600));
    };
    const auto behaviour = firstAndLaterAttempts(attempts, goesOnLater, refusesLate);
    deployment.addServer("s1", "engines", behaviour);
    deployment.addServer("s2", "engines", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        CHECK(attempts == 2);
    });
}

// Guards against a stream that is cut because its silent server was left for one that ended before its first event.
TEST_CASE("a stream is read on from its silent server if the next server breaks off after the head of its answer")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    const StandInServer::Behaviour breaksOff
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        co_await pauseFor(milliseconds(50));
    };
    const auto behaviour = firstAndLaterAttempts(attempts, StreamWithLongPause, breaksOff);
    deployment.addServer("s1", "engines", behaviour);
    deployment.addServer("s2", "engines", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        CHECK(attempts == 2);
    });
}

// Guards against a stream that runs at two servers for longer than the platform allows, where the next one begins with
// the head of its answer and sends its first event late.
TEST_CASE("a stream is ended at its silent server soon after the next one has begun to answer")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    std::optional<TimePoint> begunAt;
    std::optional<TimePoint> endedAt;
    const StandInServer::Behaviour staysSilent
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece(FirstEvent);
        const auto until = Clock::now() + seconds(4);
        while (!responder.callerGone() && Clock::now() < until) {
            co_await pauseFor(milliseconds(10));
        }
        endedAt = Clock::now();
    };
    const StandInServer::Behaviour beginsSlowly
        = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        begunAt = Clock::now();
        (void)co_await responder.beginStream(std::move(head));
        co_await pauseFor(milliseconds(800));
        (void)co_await responder.writePiece(SecondEvent);
        (void)co_await responder.endStream();
    };
    const auto behaviour = firstAndLaterAttempts(attempts, staysSilent, beginsSlowly);
    deployment.addServer("s1", "engines", behaviour);
    deployment.addServer("s2", "engines", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused");
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        CHECK(attempts == 2);
        REQUIRE(begunAt.has_value());
        REQUIRE(endedAt.has_value());
        CHECK(*endedAt - *begunAt < milliseconds(400));
    });
}

// Guards against a stream that is cut soon after its server has ended because no control host leads at that moment.
TEST_CASE("a stream whose server ends while there is no leader goes on once the next leader has loaded its adapter")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    int attempts = 0;
    const StandInServer::Behaviour endsSoon
        = [](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        auto head = sealedResponse(request, 200);
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await responder.beginStream(std::move(head));
        (void)co_await responder.writePiece(FirstEvent);
        co_await pauseFor(milliseconds(300));
    };
    const StandInServer::Behaviour goesOn = [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, 2, 2);
    };
    const auto behaviour = firstAndLaterAttempts(attempts, endsSoon, goesOn);
    auto &first = deployment.addServer("s1", "engines", behaviour);
    deployment.addServer("s2", "engines", behaviour);
    first.adapters = {"a1"};
    deployment.run([&]() -> asio::awaitable<void> {
        // Lets the leader tell the entry what the first server holds.
        co_await deployment.sleepFor(milliseconds(500));
        bool restarted = false;
        asio::co_spawn(
            deployment.executor(),
            [&]() -> asio::awaitable<void> {
                co_await deployment.restartControl(milliseconds(700));
                restarted = true;
            },
            asio::detached);
        // The control host ends about 2 s after it was told to, as no other one can take its leadership.
        co_await deployment.sleepFor(milliseconds(1850));
        const auto paused = co_await deployment.call("POST", "/stream/x", "paused", "a1");
        while (!restarted) {
            co_await deployment.sleepFor(milliseconds(50));
        }
        CHECK(paused.status == 200);
        CHECK(paused.body == wholeStream());
        CHECK(attempts == 2);
    });
}
