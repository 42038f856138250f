#include "tamarackcove/Gateway/FleetView.h"

#include "tamarackcove/Gateway/CallerDialect.h"
#include "tamarackcove/Gateway/GatewaySettings.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/FleetMessages.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

/// How long requests may still run on the previous version of an adapter after a new one was announced. Servers need
/// about this long to load the new version; deployments allow several times as long.
static constexpr milliseconds VersionGrace{1500};
/// Assumed number of entries that share the retry budget, until the leader of the control hosts has sent the real
/// number.
static constexpr std::size_t AssumedEntries = 8;
/// The leader sends the loads of servers five times a second if they have changed. After this time without any, they
/// count as reported again with its status.
static constexpr milliseconds MaxLoadsInterval{300};
/// Number of adapters in the history of each server. Engines keep copies of somewhat fewer adapters in memory.
static constexpr std::size_t HistoryPerServer = 128;

FleetView::FleetView(asio::any_io_executor executor, const GatewaySettings &settings, const CallerDialect &dialect)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_dialect(dialect)
    , m_updatedAt(Clock::now())
    , m_servers({.zone = settings.zone, .seed = std::random_device()()})
    , m_history(HistoryPerServer)
    , m_entryCount(AssumedEntries)
{
    m_crashSuspects.hasEnded = [this](const ServerIdentity &server, const Endpoint &, TimePoint now) {
        return m_servers.seemsEnded(server, now);
    };
    m_crashSuspects.isGone = [this](const ServerIdentity &server) {
        return m_servers.isGone(server);
    };
}

static std::optional<OfferedServer> toOfferedServer(const ServerMessage &message)
{
    const auto endpoint = Endpoint::parse(message.endpoint);
    if (!endpoint) {
        LogLine(LogLevel::Warning, "server_passed_over")
            .add("server", message.id)
            .add("reason", "the endpoint is not of the form ip:port")
            .add("endpoint", message.endpoint);
        return std::nullopt;
    }
    OfferedServer offered;
    offered.identity = {.id = TargetId(message.id), .startedAt = Incarnation(message.startedAt)};
    offered.service = ServiceName(message.service);
    offered.endpoint = *endpoint;
    offered.zone = Zone(message.zone);
    offered.slots = message.slots;
    offered.draining = message.draining;
    for (const auto &model : message.models) {
        offered.models.emplace_back(model);
    }
    return offered;
}

void FleetView::noteStatus(std::size_t entries, TimePoint now)
{
    m_updatedAt = now;
    if (now >= m_loadsAt + MaxLoadsInterval) {
        noteLoads(now);
    }
    if (entries == 0 || entries == m_entryCount) {
        return;
    }
    m_entryCount = entries;
    m_servers.setEntryCount(entries);
    for (auto &[service, window] : m_retryBudgets) {
        window.setEntries(m_entryCount);
    }
}

void FleetView::apply(const FleetUpdateMessage &update, TimePoint leaderClockZero, TimePoint now)
{
    bool changed
        = !update.holdings.empty() || !update.servers.empty() || !update.removed.empty() || !update.departed.empty();
    const auto currentVersion = m_routes ? m_routes->configuration().version : 0;
    if (!update.document.empty() && update.configurationVersion > currentVersion) {
        auto read = m_dialect.readConfiguration(update.document);
        if (read.has_error()) {
            LogLine(LogLevel::Error, "configuration_unreadable").add("reason", read.error());
        } else {
            m_routes = std::make_shared<const RouteTable>(
                std::make_shared<const DeploymentConfiguration>(std::move(read).value()));
            for (const auto &service : m_routes->configuration().services) {
                m_servers.setMemory(service.name, service.engine ? service.engine->requestMemoryTokens : 0);
            }
            const auto &workspaces = m_routes->configuration().workspaces;
            m_admission.allowances().setActive(
                std::any_of(workspaces.begin(), workspaces.end(),
                            [](const Workspace &workspace) { return workspace.allowance.has_value(); }));
            LogLine(LogLevel::Info, "configuration_in_force").add("version", update.configurationVersion);
            changed = true;
        }
    }
    for (const auto &announced : update.versions) {
        auto &version = m_versions[{BaseModel(announced.model), announced.adapter}];
        if (announced.version > version.version) {
            version = {.version = announced.version, .announcedAt = now};
        }
    }
    for (const auto &server : update.servers) {
        if (auto offered = toOfferedServer(server)) {
            m_servers.put(std::move(*offered));
        }
    }
    std::vector<ServerIdentity> departed;
    for (const auto &server : update.departed) {
        departed.push_back({.id = TargetId(server.server), .startedAt = Incarnation(server.startedAt)});
    }
    m_servers.recordDepartures(departed, now);
    for (const auto &id : update.removed) {
        m_servers.remove(TargetId(id));
        m_history.forget(TargetId(id));
    }
    if (update.complete) {
        std::set<TargetId> all;
        for (const auto &id : update.all) {
            all.insert(TargetId(id));
        }
        m_servers.keepOnly(all);
    }
    for (const auto &id : update.relisted) {
        m_servers.clearHoldings(TargetId(id));
    }
    for (const auto &holding : update.holdings) {
        const TargetId id(holding.server);
        const AdapterKey adapter{BaseModel(holding.model), holding.adapter};
        m_servers.setHolding(id, adapter, holding.version, leaderClockZero + milliseconds(holding.readyAtMs));
        const auto identity = m_servers.identityOf(id);
        if (identity && holding.version > 0) {
            m_history.recordHeld(*identity, adapter);
        }
    }
    for (const auto &load : update.loads) {
        m_servers.setLoad(TargetId(load.server), load.load, now);
        m_servers.setMemoryInUse(TargetId(load.server), load.memoryTokens);
        m_servers.setSlowness(TargetId(load.server), load.slowness);
    }
    if (update.listsPromptParts) {
        m_crashSuspects.setLists(update.watchedParts, update.quarantinedParts, now);
        changed = true;
    }
    if (update.listsSilentServers) {
        m_crashSuspects.setSilentServers(update.silentServers);
    } else if (!update.servers.empty() || !update.removed.empty() || update.complete) {
        m_crashSuspects.noteEndedServers();
    }
    if (changed) {
        wakeWaiters();
    }
    if (!update.loads.empty()) {
        noteLoads(now);
    }
}

void FleetView::noteLoads(TimePoint now)
{
    m_loadsAt = now;
    if (onLoads) {
        onLoads(now);
    }
}

void FleetView::wakeWaiters()
{
    for (auto *timer : m_waiters) {
        timer->cancel();
    }
}

static ServerMessage toServerMessage(const OfferedServer &server)
{
    ServerMessage message{.id = server.identity.id.value(),
                          .startedAt = server.identity.startedAt.value(),
                          .service = server.service.value(),
                          .endpoint = server.endpoint.toString(),
                          .zone = server.zone.value(),
                          .slots = server.slots,
                          .draining = server.draining,
                          .models = {}};
    for (const auto &model : server.models) {
        message.models.push_back(model.value());
    }
    return message;
}

FleetReportMessage FleetView::makeReportHeader() const
{
    FleetReportMessage report;
    report.entry = m_settings.name;
    report.zone = m_settings.zone.value();
    report.configurationVersion = m_routes ? m_routes->configuration().version : 0;
    return report;
}

void FleetView::addHistory(FleetReportMessage &report) const
{
    for (const auto &record : m_history.records()) {
        std::map<BaseModel, HistoryMessage> byModel;
        for (const auto &adapter : record.adapters) {
            byModel[adapter.model].adapters.push_back(adapter.adapter);
        }
        for (auto &[model, message] : byModel) {
            message.server = record.server.id.value();
            message.startedAt = record.server.startedAt.value();
            message.model = model.value();
            report.histories.push_back(std::move(message));
        }
    }
}

DemandMessage FleetView::toDemandMessage(const AdapterKey &adapter, const Demand &demand)
{
    return {.model = adapter.model.value(),
            .adapter = adapter.adapter,
            .version = demand.version,
            .waiting = demand.waiting,
            .failed = demand.failed};
}

FleetReportMessage FleetView::takeNewDemands()
{
    auto report = makeReportHeader();
    report.onlyNewDemands = true;
    for (auto &[adapter, demand] : m_demands) {
        if (std::exchange(demand.isNew, false) && demand.waiting > 0) {
            report.demands.push_back(toDemandMessage(adapter, demand));
        }
    }
    return report;
}

FleetReportMessage FleetView::takeReport(bool toNewLeader, bool withHistory)
{
    auto report = makeReportHeader();
    for (const auto &id : m_servers.unreachable(Clock::now())) {
        report.unreachable.push_back(id.value());
    }
    for (const auto &server : m_servers.unannouncedLeaving()) {
        report.leaving.push_back(toServerMessage(server));
    }
    if (toNewLeader) {
        for (const auto &server : m_servers.offered()) {
            report.servers.push_back(toServerMessage(server));
        }
    }
    if (withHistory) {
        addHistory(report);
    }
    std::erase_if(m_demands, [](const auto &item) { return item.second.waiting <= 0; });
    for (auto &[adapter, demand] : m_demands) {
        demand.isNew = false;
        report.demands.push_back(toDemandMessage(adapter, demand));
    }
    for (auto &[key, use] : m_uses) {
        if (use.sent > 0 || use.running > 0 || use.runningUseReported) {
            report.uses.push_back({.server = key.first.value(),
                                   .model = key.second.model.value(),
                                   .adapter = key.second.adapter,
                                   .requests = use.sent,
                                   .running = use.running,
                                   .missing = false});
        }
        use.sent = 0;
        use.runningUseReported = use.running > 0;
    }
    std::erase_if(m_uses, [](const auto &item) { return item.second.running == 0; });
    for (const auto &[server, load] : m_servers.inFlight()) {
        report.loads.push_back(
            {.server = server.value(), .load = load, .memoryTokens = m_servers.reservedMemory(server)});
    }
    for (const auto &[server, ratios] : m_servers.takeTimeRatios()) {
        report.timeRatios.push_back({.server = server.value(), .count = ratios.count, .logSum = ratios.logSum});
    }
    for (const auto &[server, adapter] : m_missingAdapters) {
        report.uses.push_back(
            {.server = server.value(), .model = adapter.model.value(), .adapter = adapter.adapter, .missing = true});
    }
    m_missingAdapters.clear();
    for (const auto &[key, delay] : m_overdueLoads) {
        report.uses.push_back({.server = key.first.value(),
                               .model = key.second.model.value(),
                               .adapter = key.second.adapter,
                               .overdueMs = delay.count()});
    }
    m_overdueLoads.clear();
    return report;
}

std::shared_ptr<const RouteTable> FleetView::routes() const
{
    return m_routes;
}

ServerDirectory &FleetView::servers()
{
    return m_servers;
}

WorkspaceAdmission &FleetView::admission()
{
    return m_admission;
}

CrashSuspectWatch &FleetView::crashSuspects()
{
    return m_crashSuspects;
}

RetryWindow &FleetView::retryBudget(const ServiceName &service)
{
    const auto found = m_retryBudgets.find(service);
    if (found != m_retryBudgets.end()) {
        return found->second;
    }
    const RetryWindow::Options options{
        .ratio = m_settings.retryRatio, .slack = m_settings.retrySlack, .window = m_settings.retryWindow};
    auto &window = m_retryBudgets.emplace(service, RetryWindow(options)).first->second;
    window.setEntries(m_entryCount);
    return window;
}

std::uint64_t FleetView::latestVersion(const AdapterKey &adapter) const
{
    const auto found = m_versions.find(adapter);
    return found == m_versions.end() ? 0 : found->second.version;
}

std::uint64_t FleetView::requiredVersion(const AdapterKey &adapter, TimePoint now) const
{
    const auto found = m_versions.find(adapter);
    return found == m_versions.end() || now < found->second.announcedAt + VersionGrace ? 0 : found->second.version;
}

milliseconds FleetView::updateAge(TimePoint now) const
{
    return duration_cast<milliseconds>(now - m_updatedAt);
}

std::size_t FleetView::waitingRequests() const
{
    return m_waiters.size();
}

std::vector<std::pair<ServiceName, double>> FleetView::retriesLeft(TimePoint now)
{
    std::vector<std::pair<ServiceName, double>> all;
    all.reserve(m_retryBudgets.size());
    for (auto &[service, window] : m_retryBudgets) {
        all.emplace_back(service, window.remaining(now));
    }
    return all;
}

asio::awaitable<void> FleetView::waitForAdapter(Wait wait, Timer &timer)
{
    // Removes the wait from m_waiters and from its demand, also when the coroutine is destroyed while it waits.
    struct Registration
    {
        FleetView &view;
        const Wait &wait;
        Timer *timer;
        ~Registration()
        {
            view.m_waiters.erase(timer);
            const auto found = view.m_demands.find(wait.adapter);
            if (wait.requestsLoad && found != view.m_demands.end()) {
                --found->second.waiting;
            }
        }
    };
    m_waiters.insert(&timer);
    const Registration registration{*this, wait, &timer};
    if (wait.requestsLoad) {
        // A demand without waiting requests stays until the next report: requests that wait are woken by each change
        // and wait again, which is no new demand.
        const auto [found, isNew] = m_demands.try_emplace(wait.adapter);
        auto &demand = found->second;
        ++demand.waiting;
        demand.version = std::max(demand.version, wait.version);
        const bool moreFailures = wait.failedServers > demand.failed;
        demand.failed = std::max(demand.failed, wait.failedServers);
        if (isNew || moreFailures) {
            demand.isNew = true;
            if (onNewDemand) {
                onNewDemand();
            }
        }
    }
    timer.expires_at(wait.until);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> FleetView::waitForConfiguration(TimePoint until, Timer &timer)
{
    // Removes the timer from m_waiters, also when the coroutine is destroyed while it waits.
    struct Registration
    {
        std::set<Timer *> &waiters;
        Timer *timer;
        ~Registration()
        {
            waiters.erase(timer);
        }
    };
    while (!m_routes && Clock::now() < until) {
        m_waiters.insert(&timer);
        const Registration registration{m_waiters, &timer};
        timer.expires_at(until);
        boost::system::error_code waitError;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, waitError));
        if (!waitError) {
            break;
        }
    }
}

void FleetView::beginUse(const TargetId &server, const AdapterKey &adapter)
{
    auto &use = m_uses[{server, adapter}];
    ++use.sent;
    ++use.running;
}

void FleetView::endUse(const TargetId &server, const AdapterKey &adapter)
{
    const auto found = m_uses.find({server, adapter});
    if (found != m_uses.end() && found->second.running > 0) {
        --found->second.running;
    }
}

void FleetView::recordMissingAdapter(const TargetId &server, const AdapterKey &adapter)
{
    m_missingAdapters.emplace(server, adapter);
}

void FleetView::recordOverdueLoad(const TargetId &server, const AdapterKey &adapter, milliseconds delay)
{
    auto &longest = m_overdueLoads[{server, adapter}];
    longest = std::max({longest, delay, milliseconds(1)});
}

} // namespace tamarackcove
