#include "tamarackcove/ControlBench/LeaderBench.h"

#include "BenchEngines.h"
#include "BenchEntries.h"
#include "tamarackcove/Control/Fleet/FleetNode.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <ctime>
#include <filesystem>
#include <future>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds HeartbeatInterval{1200};

/// CPU time of the calling thread in seconds.
static double threadCpuSeconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// An io_context with a thread that runs it until the object is destroyed.
class BenchThread
{
public:
    BenchThread()
        : m_work(asio::make_work_guard(io))
        , m_thread([this] { io.run(); })
    {
    }
    ~BenchThread()
    {
        io.stop();
        m_thread.join();
    }
    BenchThread(const BenchThread &) = delete;
    BenchThread &operator=(const BenchThread &) = delete;

    /// Runs a function on the thread and returns its result.
    template<typename Function>
    auto call(Function function)
    {
        return asio::post(io, std::packaged_task<decltype(function())()>(std::move(function))).get();
    }
    /// Runs a coroutine on the thread to its end.
    void await(const std::function<asio::awaitable<void>()> &body)
    {
        asio::co_spawn(io, body, asio::use_future).get();
    }

    asio::io_context io{1};

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// A folder for the log of the control host, removed at the end.
class BenchFolder
{
public:
    BenchFolder()
        : path(std::filesystem::temp_directory_path() / ("tamarackcove-leaderbench-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(path);
    }
    ~BenchFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    BenchFolder(const BenchFolder &) = delete;
    BenchFolder &operator=(const BenchFolder &) = delete;

    const std::filesystem::path path;
};

static FleetControlSettings controlSettings(const BenchFolder &folder)
{
    FleetControlSettings settings;
    settings.name = "leader";
    settings.host = "127.0.0.1";
    settings.listen = {.host = "127.0.0.1", .port = 0};
    settings.seeds = {"127.0.0.1"};
    settings.firstStart = true;
    settings.heartbeatInterval = HeartbeatInterval;
    settings.dataFolder = folder.path;
    return settings;
}

/// Sends the heartbeats of all engines, spread evenly over the heartbeat interval. Runs on the thread of the leader.
static asio::awaitable<void> sendHeartbeats(FleetControl &control, std::vector<ServerHeartbeat> heartbeats)
{
    Timer timer(co_await asio::this_coro::executor);
    const auto gap = Duration(HeartbeatInterval) / static_cast<int>(heartbeats.size());
    for (std::uint64_t sequence = 1;; ++sequence) {
        for (auto &heartbeat : heartbeats) {
            heartbeat.sequence = sequence;
            (void)co_await control.heartbeat(heartbeat);
            timer.expires_after(gap);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

static asio::awaitable<void> putConfiguration(FleetControl &control)
{
    Timer timer(co_await asio::this_coro::executor);
    for (;;) {
        const auto accepted = co_await control.putConfiguration("{}");
        if (accepted.has_value()) {
            co_return;
        }
        timer.expires_after(milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

nlohmann::json runLeaderBench(const LeaderBenchOptions &options)
{
    const BenchFolder folder;
    BenchThread engineThread;
    BenchThread entryThread;
    BenchThread leaderThread;
    auto engines
        = engineThread.call([&] { return std::make_unique<BenchEngines>(engineThread.io.get_executor(), options); });

    FleetControl *control = nullptr;
    FleetNode::Hooks hooks;
    hooks.readConfiguration = [&options](std::string_view) {
        return BenchEngines::configuration(options);
    };
    hooks.dialect = BenchEngines::dialect();
    hooks.frontEnd = [&control](FleetControl &calls) {
        control = &calls;
        return [](const HttpRequest &, HttpResponder &) -> asio::awaitable<void> {
            co_return;
        };
    };
    hooks.onFatal = [](std::string_view, std::string_view) {
    };
    auto node = leaderThread.call(
        [&] { return std::make_unique<FleetNode>(leaderThread.io.get_executor(), controlSettings(folder), hooks); });
    const auto opened = leaderThread.call([&] { return node->open(); });
    if (opened.has_error()) {
        throw std::runtime_error("the control host does not start: " + opened.error());
    }
    leaderThread.call([&] { node->start(); });
    leaderThread.await([&] { return putConfiguration(*control); });
    Supervisor heartbeats(leaderThread.io.get_executor(), "heartbeats");
    leaderThread.call(
        [&] { heartbeats.start("heartbeats", [&] { return sendHeartbeats(*control, engines->heartbeats()); }); });

    auto entries = entryThread.call(
        [&] { return std::make_unique<BenchEntries>(entryThread.io.get_executor(), options, node->entryPort()); });
    std::this_thread::sleep_for(options.warmUp);
    const auto ordersBefore = engineThread.call([&] { return engines->orders(); });
    entryThread.call([&] { entries->resetCounts(); });
    const auto cpuBefore = leaderThread.call(threadCpuSeconds);
    const auto startedAt = Clock::now();
    std::this_thread::sleep_for(options.duration);
    const auto cpuAfter = leaderThread.call(threadCpuSeconds);
    const std::chrono::duration<double> elapsed = Clock::now() - startedAt;
    const auto ordersAfter = engineThread.call([&] { return engines->orders(); });
    auto result = entryThread.call([&] { return entries->figures(); });
    result["entries"] = options.entries;
    result["servers"] = options.servers;
    result["leader_cores"] = (cpuAfter - cpuBefore) / elapsed.count();
    result["orders_per_second"] = static_cast<double>(ordersAfter - ordersBefore) / elapsed.count();

    entryThread.await([&] { return entries->stop(); });
    leaderThread.await([&] { return heartbeats.stop(); });
    leaderThread.await([&] { return node->shutDown(); });
    engineThread.await([&] { return engines->stop(); });
    return result;
}

} // namespace tamarackcove
