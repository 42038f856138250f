#include "Deployment.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace tamarackcove;
using namespace tamarackcove::test;

/// Header with which a caller tells the stand-in server how long it works on the request.
static constexpr std::string_view WorkMs = "Work-Ms";
/// One path for each kind of request: not repeatable, repeatable, and resumable stream.
static constexpr std::array<std::string_view, 3> Paths{"/once/x", "/again/x", "/stream/x"};
/// Time in which the entry accepts connections after the stop has begun.
static constexpr milliseconds AcceptTime{2300};

static asio::awaitable<void> pauseFor(milliseconds time)
{
    Timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

static milliseconds workTime(const HttpRequest &request)
{
    return milliseconds(std::stoi(std::string(request.headers.find(WorkMs).value_or("0"))));
}

static asio::awaitable<void> answerAfterWork(const HttpRequest &request, HttpResponder &responder)
{
    co_await pauseFor(workTime(request));
    co_await answerInFull(request, responder);
}

/// Sends the first event at once and the last one after the work.
static asio::awaitable<void> streamDuringWork(const HttpRequest &request, HttpResponder &responder)
{
    auto head = sealedResponse(request, 200);
    head.headers.set("Content-Type", "text/event-stream");
    (void)co_await responder.beginStream(std::move(head));
    (void)co_await responder.writePiece("id: 1\ndata: x\n\n");
    co_await pauseFor(workTime(request));
    (void)co_await responder.writePiece("id: 2\ndata: x\n\n");
    (void)co_await responder.endStream();
}

/// One request of a caller and what the caller has seen of it.
struct CallerView
{
    std::string path;
    std::string id;
    milliseconds work{0};
    milliseconds deadline{0};
    /// When the request is sent, from the begin of the stop.
    milliseconds sentAfter{0};
    /// Time between the connect and the request; the connection is opened and used before the stop if it is absent.
    std::optional<milliseconds> idleOnNewConnection;
    bool ended = false;
    /// 0 if the connection was closed without a complete answer.
    int status = 0;
    /// Whether the answer had `Connection: close`.
    bool closes = false;
    bool hasRetryAfter = false;
    TimePoint endedAt;
};

static HttpRequest requestOf(const CallerView &view)
{
    auto request = Deployment::callerRequest("POST", view.path, view.id, {}, view.deadline);
    request.headers.set(std::string(WorkMs), std::to_string(view.work.count()));
    return request;
}

/// Sends the request at its moment and records the answer.
static asio::awaitable<void> runCaller(const Deployment &deployment, CallerView &view, TimePoint stopBegin)
{
    Timer timer(co_await asio::this_coro::executor);
    if (view.idleOnNewConnection) {
        timer.expires_at(stopBegin + view.sentAfter - *view.idleOnNewConnection);
        co_await timer.async_wait(asio::use_awaitable);
    }
    auto endpoint = deployment.callerEndpoint();
    auto connected = co_await HttpConnection::connect(std::move(endpoint), CallTimeout);
    if (connected.has_value() && !view.idleOnNewConnection) {
        auto first = Deployment::callerRequest("GET", "/again/x", "first-" + view.id, {}, CallTimeout);
        const auto answer = co_await connected.value()->exchange(std::move(first), CallTimeout);
        CHECK(answer.has_value());
    }
    timer.expires_at(stopBegin + view.sentAfter);
    co_await timer.async_wait(asio::use_awaitable);
    if (connected.has_value()) {
        auto request = requestOf(view);
        const auto answer = co_await connected.value()->exchange(std::move(request), CallTimeout);
        if (answer.has_value()) {
            view.status = answer.value().status;
            view.closes = !connected.value()->reusable();
            view.hasRetryAfter = answer.value().headers.find("Retry-After").has_value();
        }
    }
    view.endedAt = Clock::now();
    view.ended = true;
}

/// Adds one caller for each kind of request and of connection at each moment of the grace period.
static std::vector<CallerView> callersAtEachMoment(milliseconds grace, milliseconds work, milliseconds deadline)
{
    constexpr milliseconds Interval{150};
    constexpr milliseconds IdleTime{300};
    std::vector<CallerView> views;
    for (milliseconds moment{50}; moment < grace; moment += Interval) {
        for (const auto path : Paths) {
            for (const auto idle : {std::optional<milliseconds>(), std::optional(IdleTime)}) {
                CallerView view;
                view.path = std::string(path);
                view.id = std::string(path.substr(1, 2)) + (idle ? "n" : "k") + std::to_string(moment.count());
                view.work = work;
                view.deadline = deadline;
                view.sentAfter = moment;
                view.idleOnNewConnection = idle;
                views.push_back(std::move(view));
            }
        }
    }
    return views;
}

/// Starts the callers, stops the entry once all connections that are opened before the stop are open, and waits until
/// all callers have ended.
static asio::awaitable<void> stopUnderCallers(Deployment &deployment, std::vector<CallerView> &views)
{
    constexpr milliseconds ConnectTime{700};
    const auto stopBegin = Clock::now() + ConnectTime;
    for (auto &view : views) {
        asio::co_spawn(deployment.executor(), runCaller(deployment, view, stopBegin), asio::detached);
    }
    co_await deployment.sleepFor(std::chrono::ceil<milliseconds>(stopBegin - Clock::now()));
    co_await deployment.stopEntry();
    CHECK(Clock::now() - stopBegin < deployment.gracePeriod);
    while (!std::all_of(views.begin(), views.end(), [](const auto &view) { return view.ended; })) {
        co_await deployment.sleepFor(milliseconds(20));
    }
}

// Guards against requests that are taken late in the grace period, passed on, and cut without an answer at its end:
// the callers keep using their connections, and new ones, until the process is gone.
TEST_CASE("during a planned stop every request is answered, or no server gets it, if its deadline is after the stop")
{
    Deployment deployment;
    deployment.gracePeriod = milliseconds(4000);
    auto &plain = deployment.addServer("p1", "plain", answerAfterWork);
    auto &engine = deployment.addServer("s1", "engines", streamDuringWork);
    deployment.run([&]() -> asio::awaitable<void> {
        auto views = callersAtEachMoment(deployment.gracePeriod, milliseconds(3800), milliseconds(4000));
        co_await stopUnderCallers(deployment, views);
        for (const auto &view : views) {
            CAPTURE(view.id);
            CAPTURE(view.status);
            CHECK(requestCount(plain, view.id) + requestCount(engine, view.id) == 0);
            if (view.sentAfter < AcceptTime - milliseconds(100)) {
                CHECK(view.status == 503);
                CHECK(view.closes);
                CHECK(view.hasRetryAfter);
            } else {
                CHECK((view.status == 0 || view.status == 503));
            }
        }
    });
}

// Guards against requests that are refused during a stop although there is time for them.
TEST_CASE("during a planned stop requests whose deadline is before its end are served")
{
    Deployment deployment;
    deployment.gracePeriod = milliseconds(4000);
    auto &plain = deployment.addServer("p1", "plain", answerAfterWork);
    auto &engine = deployment.addServer("s1", "engines", streamDuringWork);
    deployment.run([&]() -> asio::awaitable<void> {
        auto views = callersAtEachMoment(deployment.gracePeriod, milliseconds(100), milliseconds(1000));
        co_await stopUnderCallers(deployment, views);
        for (const auto &view : views) {
            CAPTURE(view.id);
            CAPTURE(view.status);
            const auto sent = requestCount(plain, view.id) + requestCount(engine, view.id);
            CHECK(sent == (view.status == 200 ? 1 : 0));
            if (view.sentAfter < AcceptTime - milliseconds(100)) {
                CHECK(view.status == 200);
                CHECK(view.closes);
            }
        }
    });
}

// Guards against requests that were at a server when the stop began and are cut without an answer at its end.
TEST_CASE("requests that are at a server at the end of a planned stop get a final answer, and streams last until then")
{
    Deployment deployment;
    deployment.gracePeriod = milliseconds(2000);
    auto &plain = deployment.addServer("p1", "plain", answerAfterWork);
    auto &engine = deployment.addServer("s1", "engines", streamDuringWork);
    deployment.run([&]() -> asio::awaitable<void> {
        std::vector<CallerView> views;
        for (const auto path : Paths) {
            CallerView view;
            view.path = std::string(path);
            view.id = "before-" + view.path;
            view.work = milliseconds(3800);
            view.deadline = milliseconds(4000);
            view.sentAfter = milliseconds(-200);
            views.push_back(std::move(view));
        }
        co_await stopUnderCallers(deployment, views);
        CHECK(views[0].status == 504);
        CHECK(views[1].status == 504);
        // There is no final answer for a stream that has begun: its caller sees that it is incomplete.
        CHECK(views[2].status == 0);
        for (const auto &view : views) {
            CAPTURE(view.id);
            CHECK(requestCount(plain, view.id) + requestCount(engine, view.id) == 1);
            CHECK(Clock::now() - view.endedAt < milliseconds(600));
        }
    });
}

// Guards against a request that a slow caller completes late in the grace period and that is passed on all the same.
TEST_CASE("a request whose body arrives late in the grace period is refused as not run")
{
    Deployment deployment;
    deployment.gracePeriod = milliseconds(4000);
    auto &plain = deployment.addServer("p1", "plain", answerAfterWork);
    deployment.addServer("s1", "engines", streamDuringWork);
    deployment.run([&]() -> asio::awaitable<void> {
        const std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTamarackcove-Attempt-Id: late\r\n"
                                 "Tamarackcove-Deadline-Ms: 4000\r\nWork-Ms: 3000\r\nContent-Length: 4\r\n\r\n";
        const auto endpoint = deployment.callerEndpoint();
        tcp::socket socket(deployment.executor());
        socket.connect(tcp::endpoint(asio::ip::make_address(endpoint.host), endpoint.port));
        asio::write(socket, asio::buffer(head));
        std::string answer;
        bool ended = false;
        auto caller = [&]() -> asio::awaitable<void> {
            co_await pauseFor(milliseconds(3000));
            asio::write(socket, asio::buffer(std::string("body")));
            const auto [error, count]
                = co_await asio::async_read(socket, asio::dynamic_buffer(answer), asio::as_tuple(asio::use_awaitable));
            CHECK(count == answer.size());
            ended = true;
        };
        asio::co_spawn(deployment.executor(), caller(), asio::detached);
        co_await deployment.stopEntry();
        while (!ended) {
            co_await deployment.sleepFor(milliseconds(20));
        }
        CHECK(requestCount(plain, "late") == 0);
        checkContains(answer, "HTTP/1.1 503");
        checkContains(answer, "Retry-After");
        checkContains(answer, "connection: close");
    });
}

// Guards against a request that was waiting for its adapter when the stop began and is passed on during the stop.
TEST_CASE("a request that servers have refused so far is not sent again during a stop that ends before its deadline")
{
    Deployment deployment;
    deployment.gracePeriod = milliseconds(3000);
    deployment.addServer("p1", "plain", answerAfterWork);
    bool stopping = false;
    int runs = 0;
    int refusals = 0;
    const auto behaviour = [&](const HttpRequest &request, HttpResponder &responder) -> asio::awaitable<void> {
        if (!stopping) {
            ++refusals;
            return refuseWithoutRunning(request, responder);
        }
        ++runs;
        return streamDuringWork(request, responder);
    };
    deployment.addServer("s1", "engines", behaviour);
    deployment.run([&]() -> asio::awaitable<void> {
        HttpResponse response;
        bool ended = false;
        auto caller = [&]() -> asio::awaitable<void> {
            response = co_await deployment.call("POST", "/stream/x", "waiting", "a1");
            ended = true;
        };
        asio::co_spawn(deployment.executor(), caller(), asio::detached);
        while (refusals == 0) {
            co_await deployment.sleepFor(milliseconds(1));
        }
        stopping = true;
        co_await deployment.stopEntry();
        REQUIRE(ended);
        CHECK(runs == 0);
        CHECK(response.status == 503);
    });
}

// Guards against a process that is killed while it waits for the balancer, with its requests.
TEST_CASE("with a short grace period requests are answered and the tasks end before the process is killed")
{
    Deployment deployment;
    deployment.gracePeriod = milliseconds(1000);
    deployment.addServer("p1", "plain", answerAfterWork);
    deployment.addServer("s1", "engines", streamDuringWork);
    deployment.run([&]() -> asio::awaitable<void> {
        std::vector<CallerView> views(1);
        views[0].path = "/once/x";
        views[0].id = "short";
        views[0].work = milliseconds(300);
        views[0].deadline = milliseconds(4000);
        views[0].sentAfter = milliseconds(-100);
        co_await stopUnderCallers(deployment, views);
        CHECK(views[0].status == 200);
    });
}
