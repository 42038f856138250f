#pragma once

#include "tamarackcove/Gateway/GatewaySettings.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>

namespace tamarackcove {

class FleetView;
class FramedConnection;
struct FleetReportMessage;
struct FleetStatusMessage;

/// Keeps an entry connected to every control host, with one task for each. The leader sends updates and receives
/// reports; the other hosts send only their status, and stay connected because each of them may become
/// leader at any moment.
///
/// Thread safety: used on the thread of the executor.
class FleetLink
{
public:
    /// Precondition: the view outlives this object; the supervisor is stopped before it is destroyed.
    FleetLink(Supervisor &tasks, const GatewaySettings &settings, FleetView &view);
    ~FleetLink();
    FleetLink(const FleetLink &) = delete;
    FleetLink &operator=(const FleetLink &) = delete;

    /// Starts a task for each seed in the settings. May be called again after the seeds have changed.
    void start();
    /// Reports new demands to the leader as soon as possible; does nothing without a leader.
    void reportSoon();
    /// Reports crashes to all control hosts as soon as possible, as each of them may be the next leader.
    void reportCrashesSoon();
    /// Whether the leader is connected.
    [[nodiscard]] bool connectedToLeader() const;
    /// Whether no leader is connected and fewer than half of the control hosts have been connected for longer than
    /// IsolationDelay, so that this entry is probably cut off from the control group by a network partition.
    [[nodiscard]] bool isolated(TimePoint now) const;

private:
    struct Host;

    void addHost(const std::string &name);
    boost::asio::awaitable<void> run(Host &host);
    boost::asio::awaitable<void> readUpdates(Host &host, FramedConnection &connection);
    boost::asio::awaitable<void> writeReports(Host &host, FramedConnection &connection);
    void applyStatus(Host &host, const FleetStatusMessage &status);
    /// Sends a report with everything as soon as possible.
    static void reportInFull(Host &host);
    [[nodiscard]] FleetReportMessage nextReport(Host &host, TimePoint now);
    void updateReachability(TimePoint now);

    Supervisor &m_tasks;
    const GatewaySettings &m_settings;
    FleetView &m_view;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
    /// Highest term in which a leader has sent an update; updates of lower terms are ignored.
    std::uint64_t m_term = 0;
    Host *m_leader = nullptr;
    /// Since when fewer than half of the control hosts have been connected; absent while at least half are connected.
    std::optional<TimePoint> m_fewerThanHalfConnectedSince;
};

} // namespace tamarackcove
