#include "tamarackcove/ControlBench/ChangeBench.h"

#include "tamarackcove/Entry/Control/ControlLink.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Operator/ControlApi.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>

namespace asio = boost::asio;

namespace tamarackcove {

using nlohmann::json;

static constexpr int AdaptersPerIntent = 3000;

/// User and system CPU time that this process has used since its start.
static double ownCpuSeconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto inSeconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return inSeconds(usage.ru_utime) + inSeconds(usage.ru_stime);
}

/// Value of a metric without labels in a metrics page of a control host; 0 if the page does not list the metric.
static double metricValue(const std::string &text, const std::string &name)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

/// One run of the measurement: the entry links, the operator that makes the changes, and the result.
class ChangeBench
{
public:
    explicit ChangeBench(const ChangeBenchOptions &options)
        : m_options(options)
        , m_supervisor(m_io.get_executor(), "controlbench")
        , m_api({.hosts = options.administrationEndpoints})
        , m_runId(std::to_string(std::random_device{}()))
    {
    }

    json run();

private:
    /// Totals since the start of the processes and links. CPU times are in seconds.
    struct Cost
    {
        double ownCpu = 0;
        double controlCpu = 0;
        /// Bytes sent and received on all links.
        std::uint64_t bytes = 0;
    };

    asio::awaitable<void> measure();
    /// Sends a command with a new command id and returns the body of the answer.
    asio::awaitable<json> post(std::string path, json body);
    /// Puts an intent in force and returns its revision. Sets `confirmSentAt` to the time at which the confirmation is
    /// sent.
    asio::awaitable<Revision> putInForce(json intent, TimePoint &confirmSentAt);
    asio::awaitable<void> putAdaptersInForce();
    /// Waits until every link has this revision or a newer one in force.
    asio::awaitable<void> waitUntilInForce(Revision revision);
    asio::awaitable<void> makeChanges();
    asio::awaitable<Cost> readCost();
    asio::awaitable<void> sleep(milliseconds time);
    json makeIntent(const std::string &name, int adapters, int version) const;

    const ChangeBenchOptions &m_options;
    asio::io_context m_io;
    Supervisor m_supervisor;
    ControlApi m_api;
    std::string m_runId;
    int m_commands = 0;
    std::vector<std::unique_ptr<ControlLink>> m_links;
    /// For each link, its newest revision in force and when it took effect.
    std::vector<std::pair<Revision, TimePoint>> m_inForce;
    json m_result;
};

asio::awaitable<void> ChangeBench::sleep(milliseconds time)
{
    Timer timer(m_io, time);
    co_await timer.async_wait(asio::use_awaitable);
}

json ChangeBench::makeIntent(const std::string &name, int adapters, int version) const
{
    json list = json::array();
    for (int i = 0; i < adapters; ++i) {
        list.push_back({{"name", name + "/adapter-" + std::to_string(i)},
                        {"version", std::to_string(version)},
                        {"base_model", "base"},
                        {"current", true}});
    }
    return {{"name", name}, {"service", "drafting"}, {"adapters", std::move(list)}};
}

asio::awaitable<json> ChangeBench::post(std::string path, json body)
{
    body["command_id"] = m_runId + "-" + std::to_string(++m_commands);
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(path);
    request.body = body.dump();
    const auto response = co_await m_api.send(std::move(request));
    if (response.has_error()) {
        throw std::runtime_error("no response from the control hosts: " + response.error().detail);
    }
    if (response.value().status != 200) {
        throw std::runtime_error("the control hosts refused a command: " + response.value().body);
    }
    co_return json::parse(response.value().body);
}

asio::awaitable<Revision> ChangeBench::putInForce(json body, TimePoint &confirmSentAt)
{
    const auto plan = co_await post("/v1/intents", std::move(body));
    const auto confirmation = json{{"base_revision", plan.at("base_revision")}};
    confirmSentAt = Clock::now();
    const auto confirmed = co_await post("/v1/plans/" + plan.at("plan").get<std::string>() + "/confirm", confirmation);
    co_return Revision(confirmed.at("revision").get<std::uint64_t>());
}

asio::awaitable<void> ChangeBench::putAdaptersInForce()
{
    TimePoint ignored;
    Revision revision;
    for (int configuredAdapters = 0; configuredAdapters < m_options.adapters; configuredAdapters += AdaptersPerIntent) {
        revision
            = co_await putInForce(makeIntent(m_runId + "-" + std::to_string(configuredAdapters),
                                             std::min(AdaptersPerIntent, m_options.adapters - configuredAdapters), 1),
                                  ignored);
    }
    co_await waitUntilInForce(revision);
}

asio::awaitable<void> ChangeBench::waitUntilInForce(Revision revision)
{
    const auto deadline = Clock::now() + seconds(60);
    while (
        !std::all_of(m_inForce.begin(), m_inForce.end(), [&](const auto &entry) { return entry.first >= revision; })) {
        if (Clock::now() > deadline) {
            throw std::runtime_error("a revision was not in force at every watcher within 60 s");
        }
        co_await sleep(milliseconds(1));
    }
}

asio::awaitable<ChangeBench::Cost> ChangeBench::readCost()
{
    Cost cost;
    for (const auto &host : m_options.administrationEndpoints) {
        HttpRequest request;
        request.target = "/metrics";
        const auto response = co_await httpExchange(host, std::move(request), seconds(5));
        if (response.has_value()) {
            cost.controlCpu += metricValue(response.value().body, "tamarackcove_process_cpu_seconds");
        }
    }
    for (const auto &link : m_links) {
        cost.bytes += link->watchBytes();
    }
    cost.ownCpu = ownCpuSeconds();
    co_return cost;
}

static json costJson(double ownCpu, double controlCpu, double bytes, double divisor)
{
    return {{"bytes", bytes / divisor},
            {"watcher_cpu_us", ownCpu * 1e6 / divisor},
            {"control_cpu_us", controlCpu * 1e6 / divisor}};
}

asio::awaitable<void> ChangeBench::makeChanges()
{
    std::vector<double> latencies;
    std::vector<double> lastLatencies;
    constexpr milliseconds Pause{50};
    for (int change = 0; change < m_options.changes; ++change) {
        TimePoint sentAt;
        const auto revision = co_await putInForce(makeIntent(m_runId + "-changing", 1, change + 1), sentAt);
        co_await waitUntilInForce(revision);
        double lastLatency = 0;
        for (const auto &[revisionInForce, inForceAt] : m_inForce) {
            const double latency = std::chrono::duration<double, std::milli>(inForceAt - sentAt).count();
            latencies.push_back(latency);
            lastLatency = std::max(lastLatency, latency);
        }
        lastLatencies.push_back(lastLatency);
        co_await sleep(Pause);
    }
    std::sort(latencies.begin(), latencies.end());
    std::sort(lastLatencies.begin(), lastLatencies.end());
    if (latencies.empty()) {
        co_return;
    }
    m_result["in_force_ms"] = {{"p50", latencies[latencies.size() / 2]},
                               {"p99", latencies[latencies.size() * 99 / 100]},
                               {"max", latencies.back()},
                               {"last_watcher_p50", lastLatencies[lastLatencies.size() / 2]}};
}

asio::awaitable<void> ChangeBench::measure()
{
    for (auto &link : m_links) {
        link->start();
    }
    co_await putAdaptersInForce();
    const double watchers = m_options.watchers;

    // To get the cost of the changes alone, a reader of the result subtracts the idle cost for change_seconds from the
    // cost measured during the changes. The idle measurement must therefore be long enough to be exact.
    const auto idleStartedAt = Clock::now();
    const auto idleBefore = co_await readCost();
    co_await sleep(m_options.idleDuration);
    const auto idleAfter = co_await readCost();
    const double idleSeconds = std::chrono::duration<double>(Clock::now() - idleStartedAt).count();
    const auto perSecond = costJson(idleAfter.ownCpu - idleBefore.ownCpu, idleAfter.controlCpu - idleBefore.controlCpu,
                                    static_cast<double>(idleAfter.bytes - idleBefore.bytes), idleSeconds * watchers);
    m_result["idle_per_watcher_second"] = perSecond;

    const auto startedAt = Clock::now();
    const auto before = co_await readCost();
    co_await makeChanges();
    const auto after = co_await readCost();
    const double busySeconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    m_result["per_change_and_watcher"]
        = costJson(after.ownCpu - before.ownCpu, after.controlCpu - before.controlCpu,
                   static_cast<double>(after.bytes - before.bytes), std::max(1, m_options.changes) * watchers);
    m_result["change_seconds"] = busySeconds;
    for (auto &link : m_links) {
        m_result["revision"] = link->heldRevision().value();
    }
}

json ChangeBench::run()
{
    m_result = {{"watchers", m_options.watchers},
                {"changes", m_options.changes},
                {"adapters", m_options.adapters},
                {"control_hosts", m_options.controlEndpoints.size()}};
    m_inForce.resize(static_cast<std::size_t>(m_options.watchers));
    for (std::size_t i = 0; i < m_inForce.size(); ++i) {
        ControlOptions linkOptions;
        linkOptions.self = EntryId("bench-" + std::to_string(i));
        linkOptions.zone = Zone("a");
        linkOptions.hosts = m_options.controlEndpoints;
        linkOptions.seed = i;
        m_links.push_back(std::make_unique<ControlLink>(
            m_supervisor, std::move(linkOptions),
            ControlLink::Hooks{.onInForceChanged = [this, i](const ServingConfiguration &configuration) {
                m_inForce[i] = {configuration.revision, Clock::now()};
            }}));
    }
    std::exception_ptr failure;
    asio::co_spawn(
        m_io,
        [this, &failure]() -> asio::awaitable<void> {
            try {
                co_await measure();
            } catch (...) {
                failure = std::current_exception();
            }
            co_await m_supervisor.stop();
        },
        [](const std::exception_ptr &) {});
    m_io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return m_result;
}

json runChangeBench(const ChangeBenchOptions &options)
{
    return ChangeBench(options).run();
}

} // namespace tamarackcove
