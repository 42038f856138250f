#include "BenchEntries.h"

#include "BenchEngines.h"
#include "tamarackcove/ControlBench/LeaderBench.h"
#include "tamarackcove/Gateway/FleetLink.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Gateway/GatewaySettings.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <fmt/format.h>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds MaxAdapterWait{1500};
static constexpr milliseconds WaitRecheckInterval{100};

struct BenchEntries::Entry
{
    Entry(const asio::any_io_executor &executor, Supervisor &tasks, GatewaySettings entrySettings,
          const CallerDialect &dialect)
        : settings(std::move(entrySettings))
        , view(executor, settings, dialect)
        , link(tasks, settings, view)
    {
        view.onNewDemand = [this] {
            link.reportSoon();
        };
    }

    GatewaySettings settings;
    FleetView view;
    FleetLink link;
};

static std::vector<double> zipfWeights(const LeaderBenchOptions &options)
{
    std::vector<double> weights;
    for (int rank = 1; rank <= options.adapters; ++rank) {
        weights.push_back(std::pow(rank, -options.zipfExponent));
    }
    return weights;
}

BenchEntries::BenchEntries(const asio::any_io_executor &executor, const LeaderBenchOptions &options,
                           std::uint16_t controlPort)
    : m_options(options)
    , m_tasks(executor, "entries")
    , m_random(options.seed)
{
    const auto weights = zipfWeights(options);
    m_adapter = std::discrete_distribution<int>(weights.begin(), weights.end());
    m_dialect.readConfiguration = [&options](std::string_view) -> Result<DeploymentConfiguration, std::string> {
        return BenchEngines::configuration(options);
    };
    for (int i = 0; i < options.entries; ++i) {
        GatewaySettings settings;
        settings.name = fmt::format("entry-{}", i);
        settings.zone = Zone("z" + std::to_string(i % 4));
        settings.controlPort = controlPort;
        settings.seeds = {"127.0.0.1"};
        m_entries.push_back(std::make_unique<Entry>(executor, m_tasks, std::move(settings), m_dialect));
        auto &entry = *m_entries.back();
        entry.link.start();
        m_tasks.start("requests-" + std::to_string(i), [this, &entry] { return produceRequests(entry); });
    }
}

BenchEntries::~BenchEntries() = default;

asio::awaitable<void> BenchEntries::produceRequests(Entry &entry)
{
    std::exponential_distribution<double> gap(m_options.requestsPerSecond / m_options.entries);
    Timer timer(co_await asio::this_coro::executor);
    for (;;) {
        timer.expires_after(duration_cast<Duration>(std::chrono::duration<double>(gap(m_random))));
        co_await timer.async_wait(asio::use_awaitable);
        if (entry.view.routes()) {
            m_tasks.startTemporary("request-" + std::to_string(++m_startedRequests),
                                   [this, &entry] { return serveRequest(entry); });
        }
    }
}

asio::awaitable<void> BenchEntries::serveRequest(Entry &entry)
{
    const auto &service = entry.view.routes()->configuration().services.front();
    const auto &model = service.engine->models.front().name;
    const AdapterKey adapter{model, "a" + std::to_string(m_adapter(m_random))};
    const ServerDirectory::Requirements requirements{
        .service = service.name, .model = model, .adapter = adapter, .minVersion = 0, .excluded = {}};
    Timer timer(co_await asio::this_coro::executor);
    const auto deadline = Clock::now() + MaxAdapterWait;
    for (;;) {
        const auto now = Clock::now();
        const auto choice = entry.view.servers().choose(requirements, now);
        if (choice && choice->readyAt <= now) {
            entry.view.beginUse(choice->server.id, adapter);
            entry.view.servers().startRequest(choice->server.id, 1);
            timer.expires_after(m_options.serviceTime);
            co_await timer.async_wait(asio::use_awaitable);
            entry.view.servers().endRequest(choice->server.id, 1, ServerOutcome::Served, Clock::now());
            entry.view.endUse(choice->server.id, adapter);
            ++m_served;
            co_return;
        }
        if (now >= deadline) {
            ++m_notServed;
            co_return;
        }
        auto until = std::min(deadline, now + WaitRecheckInterval);
        if (choice) {
            until = std::min(until, choice->readyAt);
        }
        FleetView::Wait wait{
            .adapter = adapter, .version = 0, .requestsLoad = !choice, .failedServers = 0, .until = until};
        co_await entry.view.waitForAdapter(std::move(wait), timer);
    }
}

void BenchEntries::resetCounts()
{
    m_served = 0;
    m_notServed = 0;
}

nlohmann::json BenchEntries::figures() const
{
    const auto ended = m_served + m_notServed;
    return {{"requests", ended},
            {"served", ended == 0 ? 0.0 : static_cast<double>(m_served) / static_cast<double>(ended)}};
}

asio::awaitable<void> BenchEntries::stop()
{
    return m_tasks.stop();
}

} // namespace tamarackcove
