#include "tamarackcove/Gateway/FleetLink.h"

#include "tamarackcove/Gateway/CrashReporter.h"
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
/// Longest time without a message from a control host before its connection is closed. The leader sends its status at
/// least five times a second, other control hosts more than twice a second.
static constexpr milliseconds LeaderTimeout{900};
static constexpr milliseconds FollowerTimeout{1200};
static constexpr milliseconds WriteTimeout{1000};
/// Longest interval between reports to the leader, and to the other control hosts.
static constexpr milliseconds ReportInterval{200};
static constexpr milliseconds IdleReportInterval{1000};
/// Shortest time between two reports to the leader. New demands within this time are reported together.
static constexpr milliseconds MinReportInterval{20};
static constexpr milliseconds FirstBackoff{50};
static constexpr milliseconds MaxBackoff{400};
/// How long fewer than half of the control hosts must be connected before this entry counts as isolated. A restarted
/// control host is back within a second.
static constexpr milliseconds IsolationDelay{600};

struct FleetLink::Host
{
    Host(std::string hostName, const asio::any_io_executor &executor, CrashSuspectWatch &suspects)
        : name(std::move(hostName))
        , wake(executor)
        , crashes(suspects)
    {
    }

    std::string name;
    Timer wake;
    bool connected = false;
    /// Whether the next report is the first one to a new leader.
    bool nextReportIsFirst = false;
    /// Whether the next report includes the adapter history: the adapters that servers have held most recently.
    bool nextReportHasHistory = false;
    /// What this host was told of the crashes that this entry has met.
    CrashReporter crashes;
    /// Whether the next report is sent without waiting for the report interval.
    bool reportNow = false;
    /// Whether its last status said that it leads in a term before that of the latest leader.
    bool outdated = false;
    /// When the last report was sent, and the last one that was not only of new demands.
    TimePoint reportedAt;
    TimePoint fullReportAt;
    /// The time on our clock at which the clock of this host stood at zero, as of its last status.
    TimePoint clockZero;
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
    host = std::make_unique<Host>(name, m_tasks.executor(), m_view.crashSuspects());
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
            host.crashes.restart();
            reportInFull(host);
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
            m_view.admission().allowances().loseLeader(Clock::now());
        }
        updateReachability(Clock::now());
        Timer pause(m_tasks.executor(), backoff);
        backoff = std::min(2 * backoff, MaxBackoff);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

void FleetLink::applyStatus(Host &host, const FleetStatusMessage &status)
{
    if (!host.connected) {
        host.connected = true;
        LogLine(LogLevel::Info, "control_connected").add("host", host.name).add("leads", status.leads ? "yes" : "no");
        updateReachability(Clock::now());
    }
    for (const auto &name : status.hosts) {
        addHost(name);
    }
    host.outdated = status.leads && status.term < m_term;
    if (!status.leads || host.outdated) {
        if (m_leader == &host) {
            m_leader = nullptr;
            m_view.admission().allowances().loseLeader(Clock::now());
        }
        return;
    }
    if (m_leader != &host) {
        LogLine(LogLevel::Info, "control_leads").add("host", host.name).add("term", status.term);
        m_leader = &host;
        // A new leader learns of the servers sooner from the entries than from heartbeats of the servers, and of the
        // crashes only from the entries.
        host.nextReportIsFirst = true;
        host.crashes.restart();
        m_view.admission().allowances().meetLeader();
        reportInFull(host);
    }
    if (status.wantsHistory) {
        host.nextReportHasHistory = true;
        reportInFull(host);
    }
    m_term = status.term;
    host.clockZero = Clock::now() - milliseconds(status.clockMs);
    m_view.noteStatus(status.entries, Clock::now());
    if (status.entries > 0) {
        for (auto &[name, each] : m_hosts) {
            each->crashes.setEntries(status.entries);
        }
    }
}

void FleetLink::reportInFull(Host &host)
{
    host.fullReportAt = {};
    host.reportNow = true;
    host.wake.cancel();
}

asio::awaitable<void> FleetLink::readUpdates(Host &host, FramedConnection &connection)
{
    /// The updates that have arrived of those that are applied together, and how many are still to come.
    std::vector<FleetUpdateMessage> batch;
    std::uint64_t awaitedUpdates = 0;
    for (;;) {
        const auto message = co_await connection.read(m_leader == &host ? LeaderTimeout : FollowerTimeout);
        if (message.has_error()) {
            co_return;
        }
        if (message.value().type == FleetStatusMessage::Type) {
            const auto status = fromMessage<FleetStatusMessage>(message.value());
            if (status.has_error()) {
                LogLine(LogLevel::Warning, "status_refused").add("reason", status.error().detail);
                co_return;
            }
            applyStatus(host, status.value());
            continue;
        }
        if (message.value().type == FleetBatchMessage::Type) {
            const auto announced = fromMessage<FleetBatchMessage>(message.value());
            if (announced.has_error() || !batch.empty() || announced.value().updates > FleetBatchMessage::MaxUpdates) {
                LogLine(LogLevel::Warning, "batch_refused").add("host", host.name);
                co_return;
            }
            awaitedUpdates = announced.value().updates;
            continue;
        }
        if (message.value().type == AllowanceAnswerMessage::Type) {
            const auto answer = fromMessage<AllowanceAnswerMessage>(message.value());
            if (answer.has_error()) {
                LogLine(LogLevel::Warning, "allowances_refused").add("reason", answer.error().detail);
                co_return;
            }
            if (m_leader == &host) {
                m_view.admission().apply(answer.value(), Clock::now());
            }
            continue;
        }
        auto update = fromMessage<FleetUpdateMessage>(message.value());
        if (update.has_error()) {
            LogLine(LogLevel::Warning, "update_refused").add("reason", update.error().detail);
            co_return;
        }
        if (host.outdated) {
            // Should this host lead again, in a later term, it begins with its whole state.
            batch.clear();
            awaitedUpdates = 0;
            continue;
        }
        if (m_leader != &host) {
            // The connection is closed because the next updates build on this one.
            LogLine(LogLevel::Warning, "update_unexpected").add("host", host.name).add("term", m_term);
            co_return;
        }
        batch.push_back(std::move(update).value());
        if (awaitedUpdates > 1) {
            --awaitedUpdates;
            continue;
        }
        awaitedUpdates = 0;
        for (const auto &next : std::exchange(batch, {})) {
            m_view.apply(next, host.clockZero, Clock::now());
        }
    }
}

asio::awaitable<void> FleetLink::writeReports(Host &host, FramedConnection &connection)
{
    for (;;) {
        const auto interval = m_leader == &host ? ReportInterval : IdleReportInterval;
        auto nextAt = host.reportNow ? host.reportedAt + MinReportInterval : host.fullReportAt + interval;
        nextAt = std::min(nextAt, host.crashes.dueAt().value_or(nextAt));
        if (nextAt > Clock::now()) {
            host.wake.expires_at(nextAt);
            boost::system::error_code ignored;
            co_await host.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        auto message = toMessage(nextReport(host, Clock::now()));
        const auto written = co_await connection.write(std::move(message), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
    }
}

FleetReportMessage FleetLink::nextReport(Host &host, TimePoint now)
{
    host.reportNow = false;
    host.reportedAt = now;
    const bool leads = m_leader == &host;
    const bool isFull = !leads || now >= host.fullReportAt + ReportInterval;
    if (isFull) {
        host.fullReportAt = now;
    }
    const bool toNewLeader = leads && isFull && std::exchange(host.nextReportIsFirst, false);
    auto report = !leads ? m_view.makeReportHeader()
        : isFull         ? m_view.takeReport(toNewLeader, std::exchange(host.nextReportHasHistory, false))
                         : m_view.takeNewDemands();
    host.crashes.addTo(report, leads, now);
    if (leads) {
        m_view.admission().addTo(report, now);
    }
    return report;
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

void FleetLink::reportCrashesSoon()
{
    const auto now = Clock::now();
    for (auto &[name, host] : m_hosts) {
        if (!host->crashes.dueAt()) {
            host->crashes.noteNews(m_leader == host.get(), now);
            host->wake.cancel();
        }
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
