#pragma once

#include "tamarackcove/Gateway/GatewaySettings.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

namespace tamarackcove {

class FleetView;
class FramedConnection;
struct FleetUpdateMessage;

/// Keeps an entry connected with every control host, one task each: the host that leads sends updates and takes
/// reports, the others say which hosts there are and lead at any moment.
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

    /// Starts the tasks of the hosts that the settings name.
    void start();
    /// Sends a report as soon as possible.
    void reportSoon();
    /// Whether a host that leads is connected.
    [[nodiscard]] bool connected() const;
    /// Whether most control hosts have been out of reach for a while, so that this entry is likely to be cut off.
    [[nodiscard]] bool cutOff(TimePoint now) const;

private:
    struct Host;

    void meet(const std::string &name);
    boost::asio::awaitable<void> run(Host &host);
    boost::asio::awaitable<void> readUpdates(Host &host, FramedConnection &connection);
    boost::asio::awaitable<void> writeReports(Host &host, FramedConnection &connection);
    void take(Host &host, const FleetUpdateMessage &update);
    void noteReach(TimePoint now);

    Supervisor &m_tasks;
    const GatewaySettings &m_settings;
    FleetView &m_view;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
    /// The newest term in which a host has led; updates of earlier ones are passed over.
    std::uint64_t m_term = 0;
    Host *m_leader = nullptr;
    /// Since when fewer than half of the hosts have been connected.
    std::optional<TimePoint> m_outOfReachSince;
};

} // namespace tamarackcove
