#include "Deployment.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

namespace {

/// An engine that streams one event, and closes the connection instead if the prompt of the request has the part
/// "dead", or after the event, with a stream that has not ended. It is another start of the engine after that.
class CrashingEngine
{
public:
    CrashingEngine(const asio::any_io_executor &executor, int number, bool crashesInStream = false)
        : m_number(number)
        , m_crashesInStream(crashesInStream)
        , m_acceptor(executor, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(executor, accept(), asio::detached);
    }

    [[nodiscard]] std::string id() const
    {
        return "e" + std::to_string(m_number);
    }
    [[nodiscard]] nlohmann::json heartbeat()
    {
        ++m_heartbeats;
        return {{"service", "engines"},
                {"addr", "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())},
                {"zone", "z"},
                {"slots", 8},
                {"state", "ready"},
                {"seq", m_heartbeats},
                {"born", m_number + 100 * crashes},
                {"models", {{{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}}}}};
    }
    void close()
    {
        m_acceptor.close();
    }

    int crashes = 0;

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (error) {
                co_return;
            }
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    /// The number of the first event of the answer: a resumed stream goes on after the last one.
    static int nextEvent(const std::string &head)
    {
        constexpr std::string_view Name = "Last-Event-Id: ";
        const auto at = head.find(Name);
        return at == std::string::npos ? 1 : std::stoi(head.substr(at + Name.size())) + 1;
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
        std::string received;
        for (;;) {
            const auto [error, size]
                = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", UseTuple);
            if (error) {
                co_return;
            }
            const auto head = received.substr(0, size);
            received.clear();
            const bool dead = head.find("dead:") != std::string::npos;
            if (dead) {
                ++crashes;
            }
            if (dead && !m_crashesInStream) {
                co_return;
            }
            constexpr std::string_view Name = "Tamarackcove-Attempt-Id: ";
            const auto at = head.find(Name) + Name.size();
            const bool report = head.find("/v1/report") != std::string::npos;
            const std::string body = report ? R"({"born":)" + std::to_string(m_number + 100 * crashes)
                    + R"(,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0})"
                                            : "id: " + std::to_string(nextEvent(head)) + "\ndata: x\n\n";
            constexpr std::size_t MissingBytes = 100;
            std::string answer
                = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() + (dead ? MissingBytes : 0));
            if (!report) {
                answer += "\r\nContent-Type: text/event-stream\r\nTamarackcove-Server-Seal: seal\r\n"
                    + std::string(Name) + head.substr(at, head.find("\r\n", at) - at);
            }
            answer += "\r\n\r\n" + body;
            const auto [writeError, written] = co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
            if (writeError || dead) {
                co_return;
            }
        }
    }

    int m_number;
    bool m_crashesInStream;
    int m_heartbeats = 0;
    asio::ip::tcp::acceptor m_acceptor;
};

/// Adds eight engines, and a server of another service, by which the deployment is found ready.
std::vector<std::unique_ptr<CrashingEngine>> addEngines(Deployment &deployment, bool crashInStream)
{
    deployment.addServer("p1", "plain", answerInFull);
    std::vector<std::unique_ptr<CrashingEngine>> engines;
    for (int i = 1; i <= 8; ++i) {
        engines.push_back(std::make_unique<CrashingEngine>(deployment.executor(), i, crashInStream));
        deployment.addExternalServer(engines.back()->id(), engines.back()->heartbeat());
    }
    return engines;
}

} // namespace

// Guards against back ends that crash one after the other under requests that share one part of their prompts and
// nothing else that sound requests do not have as well.
TEST_CASE("requests with a part of the prompt that crashes servers are refused, and sound ones are served")
{
    Deployment deployment;
    auto engines = addEngines(deployment, false);
    const auto crashes = [&] {
        int sum = 0;
        for (const auto &engine : engines) {
            sum += engine->crashes;
        }
        return sum;
    };
    deployment.run([&]() -> asio::awaitable<void> {
        for (int i = 0; i < 20; ++i) {
            const auto number = std::to_string(i);
            const auto sound = co_await deployment.callWithPrompt("sound" + number, "shared:155,own" + number + ":9");
            CHECK(sound.status == 200);
            const auto deadly
                = co_await deployment.callWithPrompt("deadly" + number, "shared:155,dead:40,other" + number + ":9");
            CHECK(deadly.status >= 500);
            co_await deployment.sleepFor(milliseconds(100));
            if (i >= 10) {
                CHECK(deadly.status == 503);
                const std::string retryAfter(deadly.headers.find("Retry-After").value_or("0"));
                CHECK(std::stod(retryAfter) > 30);
            }
        }
        // Each request reaches two servers at most.
        CHECK(crashes() <= 6);
        const auto [entryMetrics, controlMetrics] = co_await deployment.metrics();
        checkContains(entryMetrics, "requests_quarantined_total");
        checkContains(controlMetrics, "prompt_parts_quarantined 1");
        for (const auto &engine : engines) {
            engine->close();
        }
    });
}

// Guards against a deadly part that is taken as sound because servers crash only after the first event of their stream.
TEST_CASE("requests with a part of the prompt under which servers crash in the middle of a stream are refused")
{
    constexpr int MaxCrashes = 6;
    Deployment deployment;
    auto engines = addEngines(deployment, true);
    deployment.run([&]() -> asio::awaitable<void> {
        int crashes = 0;
        for (int i = 0; i < 12; ++i) {
            const auto number = std::to_string(i);
            (void)co_await deployment.callWithPrompt("deadly" + number, "shared:155,dead:40,other" + number + ":9");
            co_await deployment.sleepFor(milliseconds(100));
        }
        for (const auto &engine : engines) {
            crashes += engine->crashes;
            engine->close();
        }
        CHECK(crashes <= MaxCrashes);
    });
}

// Guards against sound streams that pay for a deadly request on their path, by their caller and with parts that they
// share.
TEST_CASE("streams beside requests under which servers crash in the middle of a stream are served")
{
    Deployment deployment;
    auto engines = addEngines(deployment, true);
    deployment.run([&]() -> asio::awaitable<void> {
        constexpr seconds ContactTime{3};
        const auto refusedBy = Clock::now() + ContactTime;
        for (int i = 0; Clock::now() < refusedBy + milliseconds(500); ++i) {
            const auto number = std::to_string(i);
            const auto sound = co_await deployment.callWithPrompt("sound" + number, "shared:155,own" + number + ":9");
            CHECK(sound.status == 200);
            const bool mustBeRefused = Clock::now() >= refusedBy;
            const auto deadly
                = co_await deployment.callWithPrompt("deadly" + number, "shared:155,dead:40,other" + number + ":9");
            CHECK((deadly.status == 503 || !mustBeRefused));
            co_await deployment.sleepFor(milliseconds(100));
        }
        for (const auto &engine : engines) {
            engine->close();
        }
    });
}
