#include "tamarackcove/Gateway/FleetLink.h"

#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/FleetMessages.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds ConnectTimeout{300};
/// Longest time without an update from a control host before its connection is closed. The leader sends an update at
/// least five times a second, other control hosts more than twice a second.
static constexpr milliseconds LeaderTimeout{900};
static constexpr milliseconds FollowerTimeout{1200};
static constexpr milliseconds WriteTimeout{1000};
/// Longest interval between reports to the leader, and to the other control hosts.
static constexpr milliseconds ReportInterval{200};
static constexpr milliseconds IdleReportInterval{1000};
static constexpr milliseconds FirstBackoff{50};
static constexpr milliseconds MaxBackoff{400};
/// How long fewer than half of the control hosts must be connected before this entry counts as isolated. A restarted
/// control host is back within a second.
static constexpr milliseconds IsolationDelay{600};

struct FleetLink::Host
{
    Host(std::string hostName, const asio::any_io_executor &executor)
        : name(std::move(hostName))
        , wake(executor)
    {
    }

    std::string name;
    asio::steady_timer wake;
    bool connected = false;
    /// Whether the next report includes the servers that this entry knows.
    bool nextReportHasServers = false;
    /// Whether the next report includes the adapter history: the adapters that servers have held most recently.
    bool nextReportHasHistory = false;
    /// Whether the next report is sent without waiting for the report interval.
    bool reportNow = false;
};

FleetLink::FleetLink(Supervisor &tasks, const GatewaySettings &settings, FleetView &view)
    : m_tasks(tasks)
    , m_settings(settings)
    , m_view(view)
{
}

FleetLink::~FleetLink() = default;

void FleetLink::start()
{
    for (const auto &seed : m_settings.seeds) {
        addHost(seed);
    }
}

void FleetLink::addHost(const std::string &name)
{
    auto &host = m_hosts[name];
    if (host) {
        return;
    }
    host = std::make_unique<Host>(name, m_tasks.executor());
    m_tasks.start("control-" + name, [this, &added = *host] { return run(added); }, {.restart = Restart::Always});
}

asio::awaitable<void> FleetLink::run(Host &host)
{
    using namespace asio::experimental::awaitable_operators;
    auto backoff = FirstBackoff;
    for (;;) {
        Endpoint endpoint{.host = host.name, .port = m_settings.controlPort};
        auto connected = co_await FramedConnection::connect(std::move(endpoint), ConnectTimeout);
        if (connected.has_value()) {
            auto &connection = *connected.value();
            host.reportNow = true;
            co_await (readUpdates(host, connection) || writeReports(host, connection));
            if (host.connected) {
                backoff = FirstBackoff;
                LogLine(LogLevel::Info, "control_lost")
                    .add("host", host.name)
                    .add("led", m_leader == &host ? "yes" : "no")
                    .add("term", m_term);
            }
        }
        host.connected = false;
        if (m_leader == &host) {
            m_leader = nullptr;
        }
        updateReachability(Clock::now());
        asio::steady_timer pause(m_tasks.executor(), backoff);
        backoff = std::min(2 * backoff, MaxBackoff);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

void FleetLink::applyUpdate(Host &host, const FleetUpdateMessage &update)
{
    if (!host.connected) {
        host.connected = true;
        LogLine(LogLevel::Info, "control_connected").add("host", host.name).add("leads", update.leads ? "yes" : "no");
        updateReachability(Clock::now());
    }
    for (const auto &name : update.hosts) {
        addHost(name);
    }
    if (!update.leads || update.term < m_term) {
        if (m_leader == &host) {
            m_leader = nullptr;
        }
        return;
    }
    if (m_leader != &host) {
        LogLine(LogLevel::Info, "control_leads").add("host", host.name).add("term", update.term);
        m_leader = &host;
        // A new leader learns of the servers sooner from the entries than from heartbeats of the servers.
        host.nextReportHasServers = true;
        host.reportNow = true;
        host.wake.cancel();
    }
    if (update.wantsHistory) {
        host.nextReportHasHistory = true;
        host.reportNow = true;
        host.wake.cancel();
    }
    m_term = update.term;
    m_view.apply(update, Clock::now());
}

asio::awaitable<void> FleetLink::readUpdates(Host &host, FramedConnection &connection)
{
    for (;;) {
        const auto message = co_await connection.read(m_leader == &host ? LeaderTimeout : FollowerTimeout);
        if (message.has_error()) {
            co_return;
        }
        const auto update = fromMessage<FleetUpdateMessage>(message.value());
        if (update.has_error()) {
            LogLine(LogLevel::Warning, "update_refused").add("reason", update.error().detail);
            co_return;
        }
        applyUpdate(host, update.value());
    }
}

asio::awaitable<void> FleetLink::writeReports(Host &host, FramedConnection &connection)
{
    for (;;) {
        if (!host.reportNow) {
            host.wake.expires_after(m_leader == &host ? ReportInterval : IdleReportInterval);
            boost::system::error_code ignored;
            co_await host.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        host.reportNow = false;
        auto report = m_view.makeReportHeader();
        if (m_leader == &host) {
            report = m_view.takeReport(host.nextReportHasServers, host.nextReportHasHistory);
            host.nextReportHasServers = false;
            host.nextReportHasHistory = false;
        }
        auto message = toMessage(report);
        const auto written = co_await connection.write(std::move(message), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
    }
}

void FleetLink::updateReachability(TimePoint now)
{
    const auto connectedHosts = static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto &item) { return item.second->connected; }));
    if (2 * connectedHosts >= m_hosts.size()) {
        m_fewerThanHalfConnectedSince.reset();
    } else if (!m_fewerThanHalfConnectedSince) {
        m_fewerThanHalfConnectedSince = now;
    }
}

void FleetLink::reportSoon()
{
    if (m_leader != nullptr) {
        m_leader->reportNow = true;
        m_leader->wake.cancel();
    }
}

bool FleetLink::connectedToLeader() const
{
    return m_leader != nullptr;
}

bool FleetLink::isolated(TimePoint now) const
{
    return m_leader == nullptr && m_fewerThanHalfConnectedSince
        && *m_fewerThanHalfConnectedSince + IsolationDelay < now;
}

} // namespace tamarackcove
