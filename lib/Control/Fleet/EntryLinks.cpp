#include "tamarackcove/Control/Fleet/EntryLinks.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Listening.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

/// A connection on which no report has arrived for this long is closed. Entries report at least once a second; see
/// FleetLink.
static constexpr milliseconds ReportTimeout{2500};
static constexpr milliseconds WriteTimeout{1000};
/// Longest interval between two updates to an entry while this host is leader. Changes in the holdings of servers that
/// no request of the entry waits for are sent with the next of these updates.
static constexpr milliseconds UpdateInterval{200};
/// Shortest interval between two computations of the request load of each server, summed over the reports of all
/// entries. Summing at each report delayed the heartbeats of the leader at 67 entries and 60 servers.
static constexpr milliseconds LoadsInterval{100};
/// Interval between updates while this host is not leader.
static constexpr milliseconds IdleUpdateInterval{400};
/// Number of entries that are asked for their adapter history after this host has become leader. The histories of all
/// entries are nearly the same, except that an entry that has just started has an empty one.
static constexpr int MaxHistoryRequests = 3;
/// Shortest interval between two requests for an adapter history, so that one answer is processed before the next entry
/// is asked.
static constexpr milliseconds HistoryRequestInterval{100};

struct EntryLinks::Link
{
    Link(tcp::socket socket, const asio::any_io_executor &executor)
        : connection(std::move(socket))
        , wake(executor)
    {
    }

    /// Makes the next update that is sent as leader contain the whole state.
    void reset(const ServerRegistry &registry, const AdapterPlanner &planner);

    FramedConnection connection;
    asio::steady_timer wake;
    /// Name of the entry; empty until its first report.
    std::string entry;
    /// Whether the complete list of servers was sent to the entry.
    bool serverListSent = false;
    std::uint64_t sentConfigurationVersion = 0;
    Revision sentRevision;
    /// Changed servers that have not been sent to the entry yet.
    std::set<TargetId> pendingServers;
    /// Changes in holdings that have not been sent to the entry yet.
    std::map<std::pair<TargetId, AdapterKey>, AdapterPlanner::HoldingChange> pendingHoldings;
    /// Number of requests of this entry that wait for an adapter, as last reported.
    std::map<AdapterKey, int> awaitedAdapters;
    /// Weight of this entry's requests in progress at each server, as last reported.
    std::vector<ServerLoadMessage> loads;
    /// Whether the next update is sent without waiting for the update interval.
    bool updateNow = false;
    /// Whether the entry was asked for its adapter history since the last reset().
    bool historyRequested = false;
};

void EntryLinks::Link::reset(const ServerRegistry &registry, const AdapterPlanner &planner)
{
    serverListSent = false;
    historyRequested = false;
    sentRevision = {};
    pendingServers.clear();
    pendingHoldings.clear();
    for (const auto &[id, server] : registry.servers()) {
        pendingServers.insert(id);
    }
    for (auto &holding : planner.holdings()) {
        pendingHoldings[{holding.server, holding.adapter}] = holding;
    }
}

EntryLinks::EntryLinks(Supervisor &connections, const FleetState &state, const ServerRegistry &registry,
                       const AdapterPlanner &planner, Hooks hooks)
    : m_connections(connections)
    , m_state(state)
    , m_registry(registry)
    , m_planner(planner)
    , m_hooks(std::move(hooks))
    , m_acceptor(connections.executor())
{
}

EntryLinks::~EntryLinks() = default;

Result<void, WireError> EntryLinks::listen(const Endpoint &endpoint)
{
    const auto error = listenOn(m_acceptor, endpoint);
    if (error) {
        return WireError{WireErrorCode::ConnectFailed,
                         "cannot listen on " + endpoint.toString() + ": " + error.message()};
    }
    return ok();
}

std::uint16_t EntryLinks::port() const
{
    return m_acceptor.local_endpoint().port();
}

asio::awaitable<void> EntryLinks::run()
{
    return acceptConnections(m_acceptor, [this](tcp::socket socket) {
        auto link = std::make_shared<Link>(std::move(socket), m_connections.executor());
        m_connections.startTemporary("entry-" + std::to_string(++m_acceptedConnections),
                                     [this, link] { return serve(link); });
    });
}

asio::awaitable<void> EntryLinks::serve(std::shared_ptr<Link> link)
{
    using namespace asio::experimental::awaitable_operators;
    struct Registration
    {
        std::set<Link *> &links;
        Link *link;
        ~Registration()
        {
            links.erase(link);
        }
    };
    m_links.insert(link.get());
    const Registration registration{m_links, link.get()};
    link->reset(m_registry, m_planner);
    co_await (readReports(*link) || writeUpdates(*link));
    if (!link->entry.empty()) {
        m_hooks.onEntryDisconnected(EntryId(link->entry));
        LogLine(LogLevel::Info, "entry_disconnected").add("entry", link->entry);
    }
}

asio::awaitable<void> EntryLinks::readReports(Link &link)
{
    for (;;) {
        const auto message = co_await link.connection.read(ReportTimeout);
        if (message.has_error()) {
            co_return;
        }
        const auto report = fromMessage<FleetReportMessage>(message.value());
        if (report.has_error()) {
            LogLine(LogLevel::Warning, "entry_report_refused").add("reason", report.error().detail);
            co_return;
        }
        if (link.entry.empty()) {
            link.entry = report.value().entry;
            LogLine(LogLevel::Info, "entry_connected").add("entry", link.entry).add("zone", report.value().zone);
        }
        link.awaitedAdapters.clear();
        for (const auto &demand : report.value().demands) {
            link.awaitedAdapters[{BaseModel(demand.model), demand.adapter}] = demand.waiting;
        }
        link.loads = report.value().loads;
        m_hooks.onReport(report.value());
    }
}

ServerMessage EntryLinks::toServerMessage(const TargetId &id) const
{
    const auto &server = *m_registry.find(id);
    const auto &heartbeat = server.lastHeartbeat;
    ServerMessage message;
    message.id = id.value();
    message.startedAt = heartbeat.identity.startedAt.value();
    message.service = heartbeat.service.value();
    message.endpoint = heartbeat.endpoint.toString();
    message.zone = heartbeat.zone.value();
    message.slots = heartbeat.slots;
    message.draining = server.draining;
    for (const auto &model : heartbeat.models) {
        message.models.push_back(model.name.value());
    }
    return message;
}

int EntryLinks::waitingRequests(const AdapterKey &adapter) const
{
    int sum = 0;
    for (const auto *link : m_links) {
        const auto found = link->awaitedAdapters.find(adapter);
        sum += found == link->awaitedAdapters.end() ? 0 : found->second;
    }
    return sum;
}

const std::vector<ServerLoadMessage> &EntryLinks::totalLoads()
{
    const auto now = Clock::now();
    if (now < m_totalLoadsAt + LoadsInterval) {
        return m_totalLoads;
    }
    m_totalLoadsAt = now;
    std::map<std::string_view, double> sums;
    for (const auto *link : m_links) {
        for (const auto &load : link->loads) {
            sums[load.server] += load.load;
        }
    }
    m_totalLoads.clear();
    m_totalLoads.reserve(sums.size());
    for (const auto &[server, load] : sums) {
        m_totalLoads.push_back({.server = std::string(server), .load = load});
    }
    return m_totalLoads;
}

bool EntryLinks::tryRequestHistory(Link &link)
{
    const auto now = Clock::now();
    if (m_historyRequests >= MaxHistoryRequests || link.historyRequested
        || now < m_lastHistoryRequestAt + HistoryRequestInterval || !m_hooks.wantsHistory()) {
        return false;
    }
    link.historyRequested = true;
    ++m_historyRequests;
    m_lastHistoryRequestAt = now;
    return true;
}

FleetUpdateMessage EntryLinks::composeUpdate(Link &link)
{
    FleetUpdateMessage update;
    update.leads = m_hooks.leads();
    update.hosts = m_hooks.hosts();
    if (!update.leads) {
        // The whole state is sent once this host becomes leader.
        link.reset(m_registry, m_planner);
        return update;
    }
    update.term = m_hooks.term();
    update.entries = m_links.size();
    update.loads = totalLoads();
    update.wantsHistory = tryRequestHistory(link);
    update.configurationVersion = m_state.configurationVersion();
    if (m_state.document() && link.sentConfigurationVersion < m_state.configurationVersion()) {
        update.document = *m_state.document();
        link.sentConfigurationVersion = m_state.configurationVersion();
    }
    if (link.sentRevision < m_state.revision()) {
        for (const auto &[key, version] : m_state.weightVersions()) {
            update.versions.push_back({.model = key.model.value(), .adapter = key.adapter, .version = version});
        }
        link.sentRevision = m_state.revision();
    }
    for (const auto &id : link.pendingServers) {
        if (m_registry.find(id) == nullptr) {
            update.removed.push_back(id.value());
        } else {
            update.servers.push_back(toServerMessage(id));
        }
    }
    link.pendingServers.clear();
    const auto now = Clock::now();
    for (const auto &[key, change] : link.pendingHoldings) {
        update.holdings.push_back({.server = change.server.value(),
                                   .model = change.adapter.model.value(),
                                   .adapter = change.adapter.adapter,
                                   .version = change.version,
                                   .readyInMs = duration_cast<milliseconds>(change.readyAt - now).count()});
    }
    link.pendingHoldings.clear();
    if (!link.serverListSent && m_hooks.serversAnnounced()) {
        link.serverListSent = true;
        update.complete = true;
        for (const auto &[id, server] : m_registry.servers()) {
            update.all.push_back(id.value());
        }
    }
    return update;
}

asio::awaitable<void> EntryLinks::writeUpdates(Link &link)
{
    for (;;) {
        const auto update = composeUpdate(link);
        link.updateNow = false;
        auto message = toMessage(update);
        const auto written = co_await link.connection.write(std::move(message), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
        if (link.updateNow) {
            continue;
        }
        link.wake.expires_after(update.leads ? UpdateInterval : IdleUpdateInterval);
        boost::system::error_code ignored;
        co_await link.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void EntryLinks::scheduleStateUpdate()
{
    for (auto *link : m_links) {
        link->updateNow = true;
        link->wake.cancel();
    }
}

void EntryLinks::scheduleServerUpdates(const std::set<TargetId> &ids)
{
    for (auto *link : m_links) {
        link->pendingServers.insert(ids.begin(), ids.end());
        link->updateNow = true;
        link->wake.cancel();
    }
}

void EntryLinks::scheduleHoldingUpdates(const std::vector<AdapterPlanner::HoldingChange> &changes)
{
    for (auto *link : m_links) {
        bool anyAwaited = false;
        for (const auto &change : changes) {
            link->pendingHoldings[{change.server, change.adapter}] = change;
            anyAwaited = anyAwaited || (change.version > 0 && link->awaitedAdapters.contains(change.adapter));
        }
        if (anyAwaited) {
            link->updateNow = true;
            link->wake.cancel();
        }
    }
}

void EntryLinks::resendEverything()
{
    m_historyRequests = 0;
    for (auto *link : m_links) {
        link->reset(m_registry, m_planner);
    }
    scheduleStateUpdate();
}

std::size_t EntryLinks::size() const
{
    return m_links.size();
}

} // namespace tamarackcove
