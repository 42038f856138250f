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

/// Entries report at least this often while they live; see FleetLink.
static constexpr milliseconds ReportTimeout{2500};
static constexpr milliseconds WriteTimeout{1000};
/// Changes that no request waits for are collected for this long. It is also the longest silence towards an entry.
static constexpr milliseconds UpdateInterval{200};
/// Adding up the loads of all entries at each report kept the leader from its heartbeats at 67 entries and 60 servers.
static constexpr milliseconds LoadsInterval{100};
/// The longest silence of a host that does not lead.
static constexpr milliseconds IdleUpdateInterval{400};
/// Entries tell much the same of what servers have held; one that has just started tells nothing.
static constexpr int MostHistories = 3;
/// One answer is taken in before the next entry is asked.
static constexpr milliseconds HistoryInterval{100};

struct EntryLinks::Link
{
    Link(tcp::socket socket, const asio::any_io_executor &executor)
        : connection(std::move(socket))
        , wake(executor)
    {
    }

    /// The entry is told everything anew.
    void reset(const ServerRegistry &registry, const AdapterPlanner &planner);

    FramedConnection connection;
    asio::steady_timer wake;
    std::string entry;
    bool complete = false;
    std::uint64_t sentConfiguration = 0;
    Revision sentRevision;
    std::set<TargetId> servers;
    std::map<std::pair<TargetId, AdapterKey>, AdapterPlanner::HoldingChange> holdings;
    /// Adapters that requests of this entry wait for.
    std::map<AdapterKey, int> awaited;
    /// Requests in progress at servers, as the entry last said.
    std::vector<LoadMessage> loads;
    bool urgent = false;
    bool askedForHistory = false;
};

void EntryLinks::Link::reset(const ServerRegistry &registry, const AdapterPlanner &planner)
{
    complete = false;
    askedForHistory = false;
    sentRevision = {};
    servers.clear();
    holdings.clear();
    for (const auto &[id, server] : registry.servers()) {
        servers.insert(id);
    }
    for (auto &holding : planner.holdings()) {
        holdings[{holding.server, holding.adapter}] = holding;
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
        m_connections.startTemporary("entry-" + std::to_string(++m_accepted), [this, link] { return serve(link); });
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
        m_hooks.onEntryGone(EntryId(link->entry));
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
        link.awaited.clear();
        for (const auto &demand : report.value().demands) {
            link.awaited[{BaseModel(demand.model), demand.adapter}] = demand.waiting;
        }
        link.loads = report.value().loads;
        m_hooks.onReport(report.value());
    }
}

ServerMessage EntryLinks::describe(const TargetId &id) const
{
    const auto &server = *m_registry.find(id);
    const auto &said = server.said;
    ServerMessage message;
    message.id = id.value();
    message.startedAt = said.identity.startedAt.value();
    message.service = said.service.value();
    message.endpoint = said.endpoint.toString();
    message.zone = said.zone.value();
    message.slots = said.slots;
    message.draining = server.draining;
    for (const auto &model : said.models) {
        message.models.push_back(model.name.value());
    }
    return message;
}

int EntryLinks::waiting(const AdapterKey &adapter) const
{
    int sum = 0;
    for (const auto *link : m_links) {
        const auto found = link->awaited.find(adapter);
        sum += found == link->awaited.end() ? 0 : found->second;
    }
    return sum;
}

const std::vector<LoadMessage> &EntryLinks::loads()
{
    const auto now = Clock::now();
    if (now < m_loadsAt + LoadsInterval) {
        return m_loads;
    }
    m_loadsAt = now;
    std::map<std::string_view, double> sums;
    for (const auto *link : m_links) {
        for (const auto &load : link->loads) {
            sums[load.server] += load.load;
        }
    }
    m_loads.clear();
    m_loads.reserve(sums.size());
    for (const auto &[server, load] : sums) {
        m_loads.push_back({.server = std::string(server), .load = load});
    }
    return m_loads;
}

bool EntryLinks::asksForHistory(Link &link)
{
    const auto now = Clock::now();
    if (m_historiesAsked >= MostHistories || link.askedForHistory || now < m_historyAskedAt + HistoryInterval
        || !m_hooks.wantsHistory()) {
        return false;
    }
    link.askedForHistory = true;
    ++m_historiesAsked;
    m_historyAskedAt = now;
    return true;
}

FleetUpdateMessage EntryLinks::compose(Link &link)
{
    FleetUpdateMessage update;
    update.leads = m_hooks.leads();
    update.hosts = m_hooks.hosts();
    if (!update.leads) {
        // Everything is sent again once this host leads.
        link.reset(m_registry, m_planner);
        return update;
    }
    update.term = m_hooks.term();
    update.entries = m_links.size();
    update.loads = loads();
    update.wantsHistory = asksForHistory(link);
    update.configurationVersion = m_state.configurationVersion();
    if (m_state.document() && link.sentConfiguration < m_state.configurationVersion()) {
        update.document = *m_state.document();
        link.sentConfiguration = m_state.configurationVersion();
    }
    if (link.sentRevision < m_state.revision()) {
        for (const auto &[key, version] : m_state.weightVersions()) {
            update.versions.push_back({.model = key.model.value(), .adapter = key.adapter, .version = version});
        }
        link.sentRevision = m_state.revision();
    }
    for (const auto &id : link.servers) {
        if (m_registry.find(id) == nullptr) {
            update.removed.push_back(id.value());
        } else {
            update.servers.push_back(describe(id));
        }
    }
    link.servers.clear();
    const auto now = Clock::now();
    for (const auto &[key, change] : link.holdings) {
        update.holdings.push_back({.server = change.server.value(),
                                   .model = change.adapter.model.value(),
                                   .adapter = change.adapter.adapter,
                                   .version = change.version,
                                   .readyInMs = duration_cast<milliseconds>(change.readyAt - now).count()});
    }
    link.holdings.clear();
    if (!link.complete && m_hooks.settled()) {
        link.complete = true;
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
        const auto update = compose(link);
        link.urgent = false;
        auto message = toMessage(update);
        const auto written = co_await link.connection.write(std::move(message), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
        if (link.urgent) {
            continue;
        }
        link.wake.expires_after(update.leads ? UpdateInterval : IdleUpdateInterval);
        boost::system::error_code ignored;
        co_await link.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void EntryLinks::stateChanged()
{
    for (auto *link : m_links) {
        link->urgent = true;
        link->wake.cancel();
    }
}

void EntryLinks::serversChanged(const std::set<TargetId> &ids)
{
    for (auto *link : m_links) {
        link->servers.insert(ids.begin(), ids.end());
        link->urgent = true;
        link->wake.cancel();
    }
}

void EntryLinks::holdingsChanged(const std::vector<AdapterPlanner::HoldingChange> &changes)
{
    for (auto *link : m_links) {
        bool awaited = false;
        for (const auto &change : changes) {
            link->holdings[{change.server, change.adapter}] = change;
            awaited = awaited || (change.version > 0 && link->awaited.contains(change.adapter));
        }
        if (awaited) {
            link->urgent = true;
            link->wake.cancel();
        }
    }
}

void EntryLinks::leadershipChanged()
{
    m_historiesAsked = 0;
    for (auto *link : m_links) {
        link->reset(m_registry, m_planner);
    }
    stateChanged();
}

std::size_t EntryLinks::size() const
{
    return m_links.size();
}

} // namespace tamarackcove
