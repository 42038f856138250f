#include "tamarackcove/LogBench/LogBench.h"
#include "tamarackcove/Supervision/Timer.h"

#include "BenchGroup.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <sys/resource.h>

namespace asio = boost::asio;

namespace tamarackcove {

using Figures = std::vector<LogFigure>;

/// User and system CPU time that this process has used since its start.
static microseconds cpuTime()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto toDuration = [](const timeval &time) {
        return seconds(time.tv_sec) + microseconds(time.tv_usec);
    };
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

static double inMicroseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

static double inMilliseconds(Duration duration)
{
    return inMicroseconds(duration) / 1000;
}

static void runToCompletion(asio::io_context &io, asio::awaitable<void> body)
{
    asio::co_spawn(io, std::move(body), [](std::exception_ptr error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
    io.run();
}

static asio::awaitable<void> sleepFor(Duration duration)
{
    Timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

static void addLeaderlessTimes(Figures &figures, const std::string &name, std::vector<double> leaderlessTimes)
{
    std::sort(leaderlessTimes.begin(), leaderlessTimes.end());
    figures.push_back({name + "_median", "ms", leaderlessTimes[leaderlessTimes.size() / 2]});
    figures.push_back({name + "_max", "ms", leaderlessTimes.back()});
}

/// Measures the time from the loss of a leader until a replica leads again.
static asio::awaitable<void> measureLeaderLoss(BenchGroup &group, int losses, Figures &figures)
{
    std::vector<double> afterKill;
    std::vector<double> afterIsolation;
    for (int i = 0; i < losses; ++i) {
        const auto leader = co_await group.waitForLeader();
        co_await group.waitUntilCaughtUp(leader);
        const auto lostAt = Clock::now();
        co_await group.stop(leader);
        (void)co_await group.waitForLeader();
        afterKill.push_back(inMilliseconds(Clock::now() - lostAt));
        group.start(leader);
    }
    for (int i = 0; i < losses; ++i) {
        const auto leader = co_await group.waitForLeader();
        co_await group.waitUntilCaughtUp(leader);
        const auto lostAt = Clock::now();
        group.isolate(leader);
        (void)co_await group.waitForLeader(leader);
        afterIsolation.push_back(inMilliseconds(Clock::now() - lostAt));
        group.isolate(std::nullopt);
    }
    addLeaderlessTimes(figures, "no_leader_after_kill", std::move(afterKill));
    addLeaderlessTimes(figures, "no_leader_after_isolation", std::move(afterIsolation));
    co_await group.stopAll();
}

/// What the proposers of one throughput measurement have done so far.
struct LoadProgress
{
    std::uint64_t committed = 0;
    int runningProposers = 0;
    /// Sum of the latencies of the committed commands, in milliseconds.
    double latencySum = 0;
};

static asio::awaitable<void> proposeUntil(BenchReplica &leader, int bytes, TimePoint end, LoadProgress &load)
{
    while (Clock::now() < end) {
        const auto sentAt = Clock::now();
        std::string command(static_cast<std::size_t>(bytes), 'x');
        const auto answer = co_await leader.log.propose(std::move(command));
        if (answer.has_value()) {
            ++load.committed;
            load.latencySum += inMilliseconds(Clock::now() - sentAt);
        }
    }
    --load.runningProposers;
}

/// Result of one throughput measurement. CPU time and traffic are summed over all replicas of the group.
struct LoadCost
{
    /// Commands per second.
    double committedPerSecond = 0;
    /// In milliseconds, from a proposal to its answer.
    double meanLatency = 0;
    /// CPU time per committed command, in microseconds.
    double cpuPerCommand = 0;
    double bytesPerCommand = 0;
};

static asio::awaitable<void> measureLoad(asio::io_context &io, BenchGroup &group, const LogBenchOptions &options,
                                         LoadCost &cost)
{
    const auto leader = co_await group.waitForLeader();
    co_await group.waitUntilCaughtUp(leader);
    LoadProgress load;
    const auto startedAt = Clock::now();
    const auto cpu = cpuTime();
    const auto bytes = group.bytesSent();
    load.runningProposers = options.concurrency;
    for (int i = 0; i < options.concurrency; ++i) {
        asio::co_spawn(io, proposeUntil(group.at(leader), options.commandBytes, startedAt + options.duration, load),
                       [](const std::exception_ptr &) {});
    }
    while (load.runningProposers > 0) {
        co_await sleepFor(milliseconds(5));
    }
    const auto committed = static_cast<double>(std::max<std::uint64_t>(1, load.committed));
    cost.committedPerSecond = committed / std::chrono::duration<double>(Clock::now() - startedAt).count();
    cost.meanLatency = load.latencySum / committed;
    cost.cpuPerCommand = inMicroseconds(cpuTime() - cpu) / committed;
    cost.bytesPerCommand = static_cast<double>(group.bytesSent() - bytes) / committed;
    co_await group.stopAll();
}

static LoadCost measureLoadCost(const LogBenchOptions &options, int size, int concurrency)
{
    asio::io_context io;
    BenchGroup group(io, options.folder / "load", size);
    LoadCost cost;
    auto runOptions = options;
    runOptions.concurrency = concurrency;
    runToCompletion(io, measureLoad(io, group, runOptions, cost));
    return cost;
}

static void addLoadFigures(const LogBenchOptions &options, Figures &figures)
{
    for (const int concurrency : {1, options.concurrency}) {
        const auto one = measureLoadCost(options, 1, concurrency);
        const auto three = measureLoadCost(options, 3, concurrency);
        const auto five = measureLoadCost(options, 5, concurrency);
        const auto suffix = fmt::format("_concurrency_{}", concurrency);
        figures.push_back({"committed_1_replica" + suffix, "1/s", one.committedPerSecond});
        figures.push_back({"committed_3_replicas" + suffix, "1/s", three.committedPerSecond});
        figures.push_back({"committed_5_replicas" + suffix, "1/s", five.committedPerSecond});
        figures.push_back({"mean_latency_3_replicas" + suffix, "ms", three.meanLatency});
        figures.push_back({"cpu_1_replica" + suffix, "us/command", one.cpuPerCommand});
        figures.push_back({"cpu_per_follower" + suffix, "us/command", (five.cpuPerCommand - three.cpuPerCommand) / 2});
        figures.push_back(
            {"bytes_per_follower" + suffix, "bytes/command", (five.bytesPerCommand - three.bytesPerCommand) / 2});
    }
}

static asio::awaitable<void> measureIdle(BenchGroup &group, milliseconds duration, Figures &figures)
{
    const auto leader = co_await group.waitForLeader();
    co_await group.waitUntilCaughtUp(leader);
    const auto cpu = cpuTime();
    const auto bytes = group.bytesSent();
    co_await sleepFor(duration);
    const double durationSeconds = std::chrono::duration<double>(duration).count();
    figures.push_back({"idle_cpu_3_replicas", "us/s", inMicroseconds(cpuTime() - cpu) / durationSeconds});
    figures.push_back(
        {"idle_bytes_3_replicas", "bytes/s", static_cast<double>(group.bytesSent() - bytes) / durationSeconds});
    co_await group.stopAll();
}

/// Proposes this many commands and waits until each one is answered.
static asio::awaitable<void> fillLog(asio::io_context &io, BenchGroup &group, int commands, int bytes)
{
    constexpr int Proposers = 256;
    const auto leader = co_await group.waitForLeader();
    int runningProposers = Proposers;
    for (int i = 0; i < Proposers; ++i) {
        const int commandsOfProposer = commands / Proposers + (i < commands % Proposers ? 1 : 0);
        auto propose = [](BenchReplica &replica, int count, int size) -> asio::awaitable<void> {
            for (int sent = 0; sent < count; ++sent) {
                std::string command(static_cast<std::size_t>(size), 'x');
                (void)co_await replica.log.propose(std::move(command));
            }
        };
        asio::co_spawn(io, propose(group.at(leader), commandsOfProposer, bytes),
                       [&runningProposers](const std::exception_ptr &) { --runningProposers; });
    }
    while (runningProposers > 0) {
        co_await sleepFor(milliseconds(5));
    }
}

/// Measures the time from opening the folder of a single replica until it has applied every command and leads again.
static asio::awaitable<void> measureRestart(asio::io_context &io, BenchGroup &group, int commands, int bytes,
                                            Figures &figures)
{
    co_await fillLog(io, group, commands, bytes);
    co_await group.stop(0);
    const auto startedAt = Clock::now();
    group.start(0);
    (void)co_await group.waitForLeader();
    figures.push_back(
        {fmt::format("restart_after_{}_commands", commands), "ms", inMilliseconds(Clock::now() - startedAt)});
    if (group.at(0).applied != static_cast<std::uint64_t>(commands)) {
        throw std::runtime_error(
            fmt::format("{} of {} commands applied after the restart", group.at(0).applied, commands));
    }
    co_await group.stopAll();
}

Figures runLogBench(const LogBenchOptions &options)
{
    Figures figures;
    {
        asio::io_context io;
        BenchGroup group(io, options.folder / "loss", 3);
        runToCompletion(io, measureLeaderLoss(group, options.leaderLosses, figures));
    }
    for (const auto commands : options.restartCommands) {
        asio::io_context io;
        BenchGroup group(io, options.folder / "restart", 1);
        runToCompletion(io, measureRestart(io, group, commands, options.commandBytes, figures));
    }
    addLoadFigures(options, figures);
    asio::io_context io;
    BenchGroup group(io, options.folder / "idle", 3);
    runToCompletion(io, measureIdle(group, options.duration, figures));
    return figures;
}

} // namespace tamarackcove
