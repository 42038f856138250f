#include "tamarackcove/Entry/Targets/TargetCall.h"

#include "../Http/AnsweringPeer.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Targets/Destination.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Entry/Targets/TargetConnections.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/CrashLedger.h"
#include "tamarackcove/Requests/RequestLifecycle.h"
#include "tamarackcove/Requests/UnreachableTargets.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <functional>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace tamarackcove;

/// Stands in for the connection of a caller.
class RecordingResponder final : public HttpResponder
{
public:
    asio::awaitable<Result<void, HttpError>> send(HttpResponse) override
    {
        m_started = true;
        co_return ok();
    }
    asio::awaitable<Result<void, HttpError>> beginStream(HttpResponse) override
    {
        m_started = true;
        co_return ok();
    }
    asio::awaitable<Result<void, HttpError>> writePiece(std::string_view) override
    {
        co_return ok();
    }
    asio::awaitable<Result<void, HttpError>> endStream() override
    {
        ended = true;
        co_return ok();
    }
    [[nodiscard]] bool started() const override
    {
        return m_started;
    }
    [[nodiscard]] bool callerGone() const override
    {
        return false;
    }

    bool ended = false;

private:
    bool m_started = false;
};

struct Outcome
{
    TargetCall::End end = TargetCall::End::Answered;
    bool outcomeUnknown = false;
    std::size_t sentBytes = 0;
    Duration time{0};
    bool responseStarted = false;
    bool responseEnded = false;
};

/// Pieces that a stand-in sends until its peer closes the connection, or for MaxSendTime.
struct Pieces
{
    std::string contentType = "application/json";
    std::string piece;
    milliseconds pause{0};
};

static constexpr seconds MaxSendTime{6};
/// More than a stand-in reads with the head of a request.
static constexpr std::size_t RequestBodyBytes = 40 * 1024;

/// Makes one attempt of a call that is not repeatable at a stand-in on this port, and awaits `stop` after it.
static void callTarget(asio::io_context &io, DestinationKind kind, std::uint16_t port, milliseconds timeToDeadline,
                       const std::function<asio::awaitable<void>()> &stop, Outcome &outcome)
{
    TargetConnections connections({});
    CrashLedger crashes({});
    UnreachableTargets unreachable;
    Metrics metrics;
    ControlCalls control;
    ZoneAccess zone;
    zone.mayDispatch = [](TimePoint) {
        return true;
    };
    const DispatchContext context{.connections = connections,
                                  .crashes = crashes,
                                  .unreachable = unreachable,
                                  .metrics = metrics,
                                  .control = control,
                                  .zone = zone,
                                  .rendering = {},
                                  .options = {}};
    Call call;
    call.id = RequestId("r1");
    call.repeatable = false;
    call.deadline = Clock::now() + timeToDeadline;
    HttpRequest request;
    request.method = "POST";
    request.body.assign(RequestBodyBytes, 'x');
    RecordingResponder responder;
    RequestLifecycle life(false);
    life.admit();
    CallerWatch watch(io.get_executor());
    CallerWatch::WatchedRequest watched(watch, responder);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            TargetCall target(context, call, request, responder, life, watched);
            Destination destination;
            destination.kind = kind;
            destination.endpoint = Endpoint{.host = "127.0.0.1", .port = port};
            destination.target = TargetId("t1");
            const auto startTime = Clock::now();
            outcome.end = co_await target.run(destination);
            outcome.time = Clock::now() - startTime;
            outcome.outcomeUnknown = target.reason().code == RefusalCode::OutcomeUnknown;
            co_await stop();
        },
        asio::detached);
    io.run();
    outcome.responseStarted = responder.started();
    outcome.responseEnded = responder.ended;
}

/// Calls a stand-in that sends a body without end, in one attempt of a call that is not repeatable.
static Outcome callEndless(DestinationKind kind, Pieces pieces, milliseconds timeToDeadline)
{
    Outcome outcome;
    asio::io_context io;
    Supervisor supervisor(io.get_executor(), "test");
    HttpServer server(supervisor, {}, [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
        const auto startTime = Clock::now();
        Timer timer(io);
        auto written = co_await responder.beginStream(streamHead(pieces.contentType));
        while (written.has_value() && Clock::now() - startTime < MaxSendTime) {
            written = co_await responder.writePiece(pieces.piece);
            outcome.sentBytes += pieces.piece.size();
            timer.expires_after(pieces.pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
    });
    REQUIRE(server.listen({"127.0.0.1", 0}).has_value());
    supervisor.start("accept", [&server] { return server.run(); });
    callTarget(
        io, kind, server.port(), timeToDeadline, [&] { return supervisor.stop(); }, outcome);
    return outcome;
}

/// Calls a stand-in that answers with these bytes and ends the connection without reading the rest of the request, in
/// one attempt of a call that is not repeatable.
static Outcome callBroken(DestinationKind kind, std::string bytes)
{
    Outcome outcome;
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::co_spawn(io, test::answerOnce(acceptor, bytes), asio::detached);
    callTarget(
        io, kind, acceptor.local_endpoint().port(), seconds(60), []() -> asio::awaitable<void> { co_return; }, outcome);
    return outcome;
}

// Guards against a response that fills the memory of the entry, and against a refusal that says that a call which may
// have run has not.
TEST_CASE("a response without end of an entry of another zone is given up at its size limit")
{
    constexpr std::size_t MaxKernelBytes = 12 * 1024 * 1024;
    const Pieces pieces{.piece = std::string(65536, ' ')};
    const auto outcome = callEndless(DestinationKind::Entry, pieces, seconds(60));
    CHECK(outcome.end == TargetCall::End::Lost);
    CHECK(outcome.outcomeUnknown);
    CHECK_FALSE(outcome.responseStarted);
    CHECK(outcome.sentBytes < DispatchContext::Options().maxResponseBytes + MaxKernelBytes);
}

// Guards against a response whose bytes arrive before each timeout and that holds its call for ever.
TEST_CASE("a response that still arrives after the deadline of its call is given up")
{
    constexpr milliseconds TimeToDeadline{100};
    constexpr milliseconds Pause{10};
    const auto maxTime = TimeToDeadline + DispatchContext::Options().maxLateTime + seconds(2);
    SUBCASE("buffered")
    {
        const auto outcome = callEndless(DestinationKind::Entry, {.piece = " ", .pause = Pause}, TimeToDeadline);
        CHECK(outcome.end == TargetCall::End::Lost);
        CHECK(outcome.outcomeUnknown);
        CHECK(outcome.time < maxTime);
    }
    SUBCASE("body of a service")
    {
        const auto outcome
            = callEndless(DestinationKind::Service, {.piece = std::string(65536, 'x'), .pause = Pause}, TimeToDeadline);
        CHECK(outcome.responseStarted);
        CHECK_FALSE(outcome.responseEnded);
        CHECK(outcome.time < maxTime);
    }
    SUBCASE("stream")
    {
        const auto outcome
            = callEndless(DestinationKind::Entry,
                          {.contentType = "text/event-stream", .piece = ": x\n\n", .pause = Pause}, TimeToDeadline);
        CHECK_FALSE(outcome.responseEnded);
        CHECK(outcome.time < maxTime);
    }
}

// Guards against a broken answer in the hands of a caller, and against a refusal that says that a call which may have
// run has not.
TEST_CASE("a response that HTTP does not allow, or that is reset, is lost")
{
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    for (const auto kind : {DestinationKind::Entry, DestinationKind::Service}) {
        for (const auto &bytes :
             {"HTTP/1.1 000 Status\r\n\r\n" + sound, std::string("HTTP/1.1 600 Status\r\nContent-Length: 2\r\n\r\n{}"),
              std::string("HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: 2\r\n\r\n{}"),
              std::string("HTTP/1.1 200 OK\r\n\r\n{}")}) {
            CAPTURE(bytes);
            const auto outcome = callBroken(kind, bytes);
            CHECK(outcome.end == TargetCall::End::Lost);
            CHECK(outcome.outcomeUnknown);
            CHECK_FALSE(outcome.responseStarted);
        }
    }
}
