#include "tamarackcove/LogBench/LogBench.h"

#include "BenchGroup.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <sys/resource.h>

namespace asio = boost::asio;

namespace tamarackcove {

using Figures = std::vector<LogFigure>;

static microseconds cpuTime()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto part = [](const timeval &time) {
        return seconds(time.tv_sec) + microseconds(time.tv_usec);
    };
    return part(usage.ru_utime) + part(usage.ru_stime);
}

static double inMicroseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

static double inMilliseconds(Duration duration)
{
    return inMicroseconds(duration) / 1000;
}

static void run(asio::io_context &io, asio::awaitable<void> body)
{
    asio::co_spawn(io, std::move(body), [](std::exception_ptr error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
    io.run();
}

static asio::awaitable<void> pause(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

static void addGaps(Figures &figures, const std::string &name, std::vector<double> gaps)
{
    std::sort(gaps.begin(), gaps.end());
    figures.push_back({name + "_median", "ms", gaps[gaps.size() / 2]});
    figures.push_back({name + "_max", "ms", gaps.back()});
}

/// Time from the loss of a leader until another one leads.
static asio::awaitable<void> measureLeaderLoss(BenchGroup &group, int losses, Figures &figures)
{
    std::vector<double> killed;
    std::vector<double> isolated;
    for (int i = 0; i < losses; ++i) {
        const auto leader = co_await group.waitForLeader();
        co_await group.waitUntilWhole(leader);
        const auto lost = Clock::now();
        co_await group.stop(leader);
        (void)co_await group.waitForLeader();
        killed.push_back(inMilliseconds(Clock::now() - lost));
        group.start(leader);
    }
    for (int i = 0; i < losses; ++i) {
        const auto leader = co_await group.waitForLeader();
        co_await group.waitUntilWhole(leader);
        const auto lost = Clock::now();
        group.isolate(leader);
        (void)co_await group.waitForLeader(leader);
        isolated.push_back(inMilliseconds(Clock::now() - lost));
        group.isolate(std::nullopt);
    }
    addGaps(figures, "no_leader_after_kill", std::move(killed));
    addGaps(figures, "no_leader_after_isolation", std::move(isolated));
    co_await group.stopAll();
}

struct Load
{
    std::uint64_t committed = 0;
    int running = 0;
    double latencySum = 0;
};

static asio::awaitable<void> proposeUntil(BenchReplica &leader, int bytes, TimePoint end, Load &load)
{
    while (Clock::now() < end) {
        const auto sent = Clock::now();
        std::string command(static_cast<std::size_t>(bytes), 'x');
        const auto answer = co_await leader.log.propose(std::move(command));
        if (answer.has_value()) {
            ++load.committed;
            load.latencySum += inMilliseconds(Clock::now() - sent);
        }
    }
    --load.running;
}

/// What one measurement of the load costs over all replicas of the group.
struct LoadCost
{
    double perSecond = 0;
    double latency = 0;
    double cpu = 0;
    double bytes = 0;
};

static asio::awaitable<void> measureLoad(asio::io_context &io, BenchGroup &group, const LogBenchOptions &options,
                                         LoadCost &cost)
{
    const auto leader = co_await group.waitForLeader();
    co_await group.waitUntilWhole(leader);
    Load load;
    const auto began = Clock::now();
    const auto cpu = cpuTime();
    const auto bytes = group.bytesSent();
    load.running = options.concurrency;
    for (int i = 0; i < options.concurrency; ++i) {
        asio::co_spawn(io, proposeUntil(group.at(leader), options.commandBytes, began + options.duration, load),
                       [](const std::exception_ptr &) {});
    }
    while (load.running > 0) {
        co_await pause(milliseconds(5));
    }
    const auto committed = static_cast<double>(std::max<std::uint64_t>(1, load.committed));
    cost.perSecond = committed / std::chrono::duration<double>(Clock::now() - began).count();
    cost.latency = load.latencySum / committed;
    cost.cpu = inMicroseconds(cpuTime() - cpu) / committed;
    cost.bytes = static_cast<double>(group.bytesSent() - bytes) / committed;
    co_await group.stopAll();
}

static LoadCost loadOf(const LogBenchOptions &options, int size, int concurrency)
{
    asio::io_context io;
    BenchGroup group(io, options.folder / "load", size);
    LoadCost cost;
    auto adjusted = options;
    adjusted.concurrency = concurrency;
    run(io, measureLoad(io, group, adjusted, cost));
    return cost;
}

static void addLoads(const LogBenchOptions &options, Figures &figures)
{
    for (const int concurrency : {1, options.concurrency}) {
        const auto one = loadOf(options, 1, concurrency);
        const auto three = loadOf(options, 3, concurrency);
        const auto five = loadOf(options, 5, concurrency);
        const auto suffix = fmt::format("_concurrency_{}", concurrency);
        figures.push_back({"committed_1_replica" + suffix, "1/s", one.perSecond});
        figures.push_back({"committed_3_replicas" + suffix, "1/s", three.perSecond});
        figures.push_back({"committed_5_replicas" + suffix, "1/s", five.perSecond});
        figures.push_back({"mean_latency_3_replicas" + suffix, "ms", three.latency});
        figures.push_back({"cpu_1_replica" + suffix, "us/command", one.cpu});
        figures.push_back({"cpu_per_follower" + suffix, "us/command", (five.cpu - three.cpu) / 2});
        figures.push_back({"bytes_per_follower" + suffix, "bytes/command", (five.bytes - three.bytes) / 2});
    }
}

static asio::awaitable<void> measureIdle(BenchGroup &group, milliseconds duration, Figures &figures)
{
    const auto leader = co_await group.waitForLeader();
    co_await group.waitUntilWhole(leader);
    const auto cpu = cpuTime();
    const auto bytes = group.bytesSent();
    co_await pause(duration);
    const double length = std::chrono::duration<double>(duration).count();
    figures.push_back({"idle_cpu_3_replicas", "us/s", inMicroseconds(cpuTime() - cpu) / length});
    figures.push_back({"idle_bytes_3_replicas", "bytes/s", static_cast<double>(group.bytesSent() - bytes) / length});
    co_await group.stopAll();
}

static asio::awaitable<void> fill(asio::io_context &io, BenchGroup &group, int commands, int bytes)
{
    constexpr int Proposers = 256;
    const auto leader = co_await group.waitForLeader();
    int running = Proposers;
    for (int i = 0; i < Proposers; ++i) {
        const int share = commands / Proposers + (i < commands % Proposers ? 1 : 0);
        auto propose = [](BenchReplica &replica, int count, int size) -> asio::awaitable<void> {
            for (int sent = 0; sent < count; ++sent) {
                std::string command(static_cast<std::size_t>(size), 'x');
                (void)co_await replica.log.propose(std::move(command));
            }
        };
        asio::co_spawn(io, propose(group.at(leader), share, bytes),
                       [&running](const std::exception_ptr &) { --running; });
    }
    while (running > 0) {
        co_await pause(milliseconds(5));
    }
}

/// Time from opening the folder until every command is applied and the replica leads again.
static asio::awaitable<void> measureRestart(asio::io_context &io, BenchGroup &group, int commands, int bytes,
                                            Figures &figures)
{
    co_await fill(io, group, commands, bytes);
    co_await group.stop(0);
    const auto began = Clock::now();
    group.start(0);
    (void)co_await group.waitForLeader();
    figures.push_back({fmt::format("restart_after_{}_commands", commands), "ms", inMilliseconds(Clock::now() - began)});
    if (group.at(0).applied != static_cast<std::uint64_t>(commands)) {
        throw std::runtime_error(fmt::format("{} of {} commands after the restart", group.at(0).applied, commands));
    }
    co_await group.stopAll();
}

Figures runLogBench(const LogBenchOptions &options)
{
    Figures figures;
    {
        asio::io_context io;
        BenchGroup group(io, options.folder / "loss", 3);
        run(io, measureLeaderLoss(group, options.leaderLosses, figures));
    }
    for (const auto commands : options.restartCommands) {
        asio::io_context io;
        BenchGroup group(io, options.folder / "restart", 1);
        run(io, measureRestart(io, group, commands, options.commandBytes, figures));
    }
    addLoads(options, figures);
    asio::io_context io;
    BenchGroup group(io, options.folder / "idle", 3);
    run(io, measureIdle(group, options.duration, figures));
    return figures;
}

} // namespace tamarackcove
