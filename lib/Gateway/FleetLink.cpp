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
/// The control host that leads sends something five times a second, the others more than twice.
static constexpr milliseconds LeaderTimeout{900};
static constexpr milliseconds FollowerTimeout{1200};
static constexpr milliseconds WriteTimeout{1000};
static constexpr milliseconds ReportInterval{200};
static constexpr milliseconds IdleReportInterval{1000};
static constexpr milliseconds FirstBackoff{50};
static constexpr milliseconds MaxBackoff{400};
/// A control host that is restarted is back within a second.
static constexpr milliseconds CutOffAfter{600};

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
    /// Whether the next report names the servers that this entry knows.
    bool introduces = false;
    /// Whether it tells what these servers have held.
    bool recalls = false;
    bool urgent = false;
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
        meet(seed);
    }
}

void FleetLink::meet(const std::string &name)
{
    auto &host = m_hosts[name];
    if (host) {
        return;
    }
    host = std::make_unique<Host>(name, m_tasks.executor());
    m_tasks.start("control-" + name, [this, &met = *host] { return run(met); }, {.restart = Restart::Always});
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
            host.urgent = true;
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
        noteReach(Clock::now());
        asio::steady_timer pause(m_tasks.executor(), backoff);
        backoff = std::min(2 * backoff, MaxBackoff);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

void FleetLink::take(Host &host, const FleetUpdateMessage &update)
{
    if (!host.connected) {
        host.connected = true;
        LogLine(LogLevel::Info, "control_connected").add("host", host.name).add("leads", update.leads ? "yes" : "no");
        noteReach(Clock::now());
    }
    for (const auto &name : update.hosts) {
        meet(name);
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
        // A host that has just begun to lead learns of the servers from the entries sooner than from the servers.
        host.introduces = true;
        host.urgent = true;
        host.wake.cancel();
    }
    if (update.wantsHistory) {
        host.recalls = true;
        host.urgent = true;
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
        take(host, update.value());
    }
}

asio::awaitable<void> FleetLink::writeReports(Host &host, FramedConnection &connection)
{
    for (;;) {
        if (!host.urgent) {
            host.wake.expires_after(m_leader == &host ? ReportInterval : IdleReportInterval);
            boost::system::error_code ignored;
            co_await host.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        host.urgent = false;
        auto report = m_view.identity();
        if (m_leader == &host) {
            report = m_view.takeReport(host.introduces, host.recalls);
            host.introduces = false;
            host.recalls = false;
        }
        auto message = toMessage(report);
        const auto written = co_await connection.write(std::move(message), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
    }
}

void FleetLink::noteReach(TimePoint now)
{
    const auto reached = static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto &item) { return item.second->connected; }));
    if (2 * reached >= m_hosts.size()) {
        m_outOfReachSince.reset();
    } else if (!m_outOfReachSince) {
        m_outOfReachSince = now;
    }
}

void FleetLink::reportSoon()
{
    if (m_leader != nullptr) {
        m_leader->urgent = true;
        m_leader->wake.cancel();
    }
}

bool FleetLink::connected() const
{
    return m_leader != nullptr;
}

bool FleetLink::cutOff(TimePoint now) const
{
    return m_leader == nullptr && m_outOfReachSince && *m_outOfReachSince + CutOffAfter < now;
}

} // namespace tamarackcove
