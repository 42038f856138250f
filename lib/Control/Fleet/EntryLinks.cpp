#include "tamarackcove/Control/Fleet/EntryLinks.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Listening.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

/// A connection on which no report has arrived for this long is closed. Entries report at least once a second; see
/// FleetLink.
static constexpr milliseconds ReportTimeout{2500};
static constexpr milliseconds WriteTimeout{1000};
/// Longest interval between two messages to an entry while this host is leader, and while it is not.
static constexpr milliseconds UpdateInterval{200};
static constexpr milliseconds IdleUpdateInterval{400};
/// Time from a change to its publication. Changes within this time are sent together.
static constexpr milliseconds ChangeDelay{15};
/// Largest error of the clock in a status, which the times of holdings refer to.
static constexpr milliseconds StatusLifetime{10};
/// Shortest interval between two computations of the request load of each server, summed over the reports of all
/// entries. Summing at each report delayed the heartbeats of the leader at 67 entries and 60 servers.
static constexpr milliseconds LoadsInterval{100};
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

    void wakeNow()
    {
        updateNow = true;
        wake.cancel();
    }

    FramedConnection connection;
    Timer wake;
    /// Name of the entry; empty until its first report.
    std::string entry;
    UpdateFeed::Position position;
    /// Weight of this entry's requests in progress at each server, as last reported.
    std::vector<ServerLoadMessage> loads;
    /// Whether the next message is sent without waiting.
    bool updateNow = false;
    /// Whether the entry was asked for its adapter history since this host became leader.
    bool historyRequested = false;
};

EntryLinks::EntryLinks(Supervisor &connections, UpdateFeed &feed, const DemandTable &demands, Hooks hooks)
    : m_connections(connections)
    , m_feed(feed)
    , m_demands(demands)
    , m_hooks(std::move(hooks))
    , m_acceptor(connections.executor())
    , m_publicationTimer(connections.executor())
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
        EntryLinks &owner;
        Link *link;
        ~Registration()
        {
            owner.m_links.erase(link);
            owner.m_awaitingLinks.erase(link);
        }
    };
    m_links.insert(link.get());
    const Registration registration{*this, link.get()};
    co_await (readReports(*link) || writeUpdates(*link));
    const bool reconnected = std::any_of(m_links.begin(), m_links.end(), [&](const Link *other) {
        return other != link.get() && other->entry == link->entry;
    });
    if (!link->entry.empty()) {
        if (!reconnected) {
            m_hooks.onEntryDisconnected(EntryId(link->entry));
        }
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
        if (!report.value().onlyNewDemands) {
            link.loads = report.value().loads;
            addTimes(report.value());
        }
        m_hooks.onReport(report.value());
    }
}

void EntryLinks::addTimes(const FleetReportMessage &report)
{
    const auto now = Clock::now();
    for (const auto &ratios : report.timeRatios) {
        m_speeds[ratios.server].add({.count = ratios.count, .logSum = ratios.logSum}, now);
    }
}

const std::vector<ServerLoadMessage> &EntryLinks::totalLoads()
{
    const auto now = Clock::now();
    if (now < m_totalLoadsAt + LoadsInterval) {
        return m_totalLoads;
    }
    m_totalLoadsAt = now;
    std::map<std::string_view, ServerLoadMessage> sums;
    for (const auto *link : m_links) {
        for (const auto &load : link->loads) {
            auto &sum = sums[load.server];
            sum.load += load.load;
            sum.memoryTokens += load.memoryTokens;
        }
    }
    std::erase_if(m_speeds, [now](const auto &item) { return item.second.isForgotten(now); });
    for (const auto &[server, speed] : m_speeds) {
        const double slowness = speed.slowness(now);
        // A slow server without load is named too, because one that is not named counts as neither loaded nor slow.
        if (slowness > 1) {
            sums[server].slowness = slowness;
        }
    }
    m_totalLoads.clear();
    m_totalLoads.reserve(sums.size());
    for (auto &[server, sum] : sums) {
        sum.server = server;
        m_totalLoads.push_back(std::move(sum));
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

SharedFrame EntryLinks::statusFrame(bool wantsHistory)
{
    const auto now = Clock::now();
    if (!wantsHistory && m_status && now < m_statusAt + StatusLifetime) {
        return m_status;
    }
    FleetStatusMessage status;
    status.leads = m_hooks.leads();
    status.hosts = m_hooks.hosts();
    if (status.leads) {
        status.term = m_hooks.term();
        status.clockMs = duration_cast<milliseconds>(now.time_since_epoch()).count();
        status.entries = m_links.size();
        status.wantsHistory = wantsHistory;
    }
    auto encoded = encodeFrame(toMessage(status));
    if (encoded.has_error()) {
        LogLine(LogLevel::Error, "status_not_encoded").add("reason", encoded.error().detail);
        return nullptr;
    }
    auto frame = std::make_shared<const std::vector<std::uint8_t>>(std::move(encoded).value());
    if (!wantsHistory) {
        m_status = frame;
        m_statusAt = now;
    }
    return frame;
}

asio::awaitable<void> EntryLinks::writeUpdates(Link &link)
{
    for (;;) {
        link.updateNow = false;
        std::vector<SharedFrame> frames{statusFrame(m_hooks.leads() && tryRequestHistory(link))};
        if (m_hooks.leads()) {
            auto updates = m_feed.framesAfter(link.position);
            if (updates.size() > 1) {
                const auto batch = encodeFrame(toMessage(FleetBatchMessage{.updates = updates.size()}));
                frames.push_back(std::make_shared<const std::vector<std::uint8_t>>(batch.value()));
            }
            frames.insert(frames.end(), updates.begin(), updates.end());
            if (auto allowances = link.entry.empty() ? nullptr : m_hooks.allowanceFrame(EntryId(link.entry))) {
                frames.push_back(std::move(allowances));
            }
        }
        if (!frames.front()) {
            co_return;
        }
        const auto written = co_await link.connection.write(std::move(frames), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
        if (link.updateNow) {
            continue;
        }
        link.wake.expires_at(TimePoint::max());
        boost::system::error_code ignored;
        co_await link.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> EntryLinks::publishUpdates()
{
    for (;;) {
        m_publicationTimer.expires_at(m_publicationAt);
        boost::system::error_code ignored;
        co_await m_publicationTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = Clock::now();
        if (now >= m_publicationAt) {
            publish(now);
        }
    }
}

void EntryLinks::publish(TimePoint now)
{
    const bool leads = m_hooks.leads();
    const auto interval = leads ? UpdateInterval : IdleUpdateInterval;
    if (now >= m_allWokenAt + interval) {
        m_wakeAll = true;
        if (leads) {
            m_feed.setLoads(totalLoads());
        }
    }
    if (leads) {
        if (m_hooks.serversAnnounced()) {
            m_feed.setServersComplete();
        }
        m_feed.publish();
    }
    if (std::exchange(m_wakeAll, false)) {
        m_allWokenAt = now;
        for (auto *link : m_links) {
            link->wakeNow();
        }
    }
    for (auto *link : std::exchange(m_awaitingLinks, {})) {
        link->wakeNow();
    }
    m_publicationAt = m_allWokenAt + interval;
}

void EntryLinks::schedulePublication()
{
    const auto at = Clock::now() + ChangeDelay;
    if (at < m_publicationAt) {
        m_publicationAt = at;
        m_publicationTimer.cancel();
    }
}

void EntryLinks::scheduleStateUpdate()
{
    m_wakeAll = true;
    schedulePublication();
}

void EntryLinks::scheduleServerUpdates(const std::set<TargetId> &ids)
{
    m_feed.addServers(ids);
    m_wakeAll = true;
    schedulePublication();
}

void EntryLinks::scheduleHoldingUpdates(const std::vector<AdapterPlanner::HoldingChange> &changes)
{
    m_feed.addHoldings(changes);
    for (const auto &change : changes) {
        if (change.version == 0 || m_demands.waiting(change.adapter) == 0) {
            continue;
        }
        for (auto *link : m_links) {
            if (m_demands.awaits(EntryId(link->entry), change.adapter)) {
                m_awaitingLinks.insert(link);
            }
        }
        schedulePublication();
    }
}

void EntryLinks::resendEverything()
{
    m_feed.restart();
    m_status.reset();
    m_historyRequests = 0;
    for (auto *link : m_links) {
        link->historyRequested = false;
    }
    scheduleStateUpdate();
}

void EntryLinks::sendSoon(const std::set<EntryId> &entries)
{
    for (auto *link : m_links) {
        if (entries.contains(EntryId(link->entry))) {
            link->wakeNow();
        }
    }
}

std::size_t EntryLinks::size() const
{
    return m_links.size();
}

} // namespace tamarackcove
